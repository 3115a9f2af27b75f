package org.baobabspar.message;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Numbers of the message types in the protocol. Invariant: a number never changes its
 * meaning and is never reused. Immutable and thread-safe.
 */
public enum MessageType {

	/** See {@link AgentHello}. */
	AGENT_HELLO(1, AgentHello.class),

	/** See {@link AgentHeartbeat}. */
	AGENT_HEARTBEAT(2, AgentHeartbeat.class),

	/** See {@link TaskEnded}. */
	TASK_ENDED(3, TaskEnded.class),

	/** See {@link TaskRefused}. */
	TASK_REFUSED(4, TaskRefused.class),

	/** See {@link FenceReply}. */
	FENCE_REPLY(5, FenceReply.class),

	/** See {@link JobSuperseded}. */
	JOB_SUPERSEDED(6, JobSuperseded.class),

	/** See {@link AgentGoodbye}. */
	AGENT_GOODBYE(7, AgentGoodbye.class),

	/** See {@link EntryNotice}. */
	ENTRY_NOTICE(8, EntryNotice.class),

	/** See {@link EntryHello}. */
	ENTRY_HELLO(20, EntryHello.class),

	/** See {@link EntryHeartbeat}. */
	ENTRY_HEARTBEAT(21, EntryHeartbeat.class),

	/** See {@link Dispatch}. */
	DISPATCH(22, Dispatch.class),

	/** See {@link Fence}. */
	FENCE(23, Fence.class),

	/** See {@link DrainAck}. */
	DRAIN_ACK(24, DrainAck.class),

	/** See {@link GoodbyeAck}. */
	GOODBYE_ACK(25, GoodbyeAck.class),

	/** See {@link DocumentNotice}. */
	DOCUMENT_NOTICE(30, DocumentNotice.class),

	/** See {@link PeerHello}. */
	PEER_HELLO(40, PeerHello.class),

	/** See {@link PeerWelcome}. */
	PEER_WELCOME(41, PeerWelcome.class),

	/** See {@link PeerHeartbeat}. */
	PEER_HEARTBEAT(42, PeerHeartbeat.class),

	/** See {@link PeerEcho}. */
	PEER_ECHO(43, PeerEcho.class),

	/** See {@link AgentNotices}. */
	AGENT_NOTICES(44, AgentNotices.class),

	/** See {@link NoticesAck}. */
	NOTICES_ACK(45, NoticesAck.class),

	/** See {@link JobAsk}. */
	JOB_ASK(46, JobAsk.class),

	/** See {@link JobAskReply}. */
	JOB_ASK_REPLY(47, JobAskReply.class),

	/** See {@link JobEnded}. */
	JOB_ENDED(48, JobEnded.class),

	/** See {@link JobCancel}. */
	JOB_CANCEL(49, JobCancel.class),

	/** See {@link PeerGoodbye}. */
	PEER_GOODBYE(50, PeerGoodbye.class),

	/** See {@link SupervisorHello}. */
	SUPERVISOR_HELLO(60, SupervisorHello.class),

	/** See {@link EntryWelcome}. */
	ENTRY_WELCOME(61, EntryWelcome.class),

	/** See {@link LeaseRequest}. */
	LEASE_REQUEST(62, LeaseRequest.class),

	/** See {@link LeaseGrant}. */
	LEASE_GRANT(63, LeaseGrant.class),

	/** See {@link RunStart}. */
	RUN_START(64, RunStart.class),

	/** See {@link RunStop}. */
	RUN_STOP(65, RunStop.class),

	/** See {@link RunEnded}. */
	RUN_ENDED(66, RunEnded.class),

	/** See {@link RoutingNotice}. */
	ROUTING_NOTICE(67, RoutingNotice.class),

	/** See {@link CancelNotice}. */
	CANCEL_NOTICE(68, CancelNotice.class),

	/** See {@link CancelReply}. */
	CANCEL_REPLY(69, CancelReply.class),

	/** See {@link DrainNotice}. */
	DRAIN_NOTICE(70, DrainNotice.class),

	/** See {@link JobClaim}. */
	JOB_CLAIM(71, JobClaim.class),

	/** See {@link JobClaimReply}. */
	JOB_CLAIM_REPLY(72, JobClaimReply.class);

	private static final Map<Class<?>, MessageType> BY_CLASS = new HashMap<>();

	private static final MessageType[] BY_NUMBER = new MessageType[128];

	static {
		for (MessageType type : values()) {
			BY_CLASS.put(type.messageClass, type);
			BY_NUMBER[type.number] = type;
		}
	}

	private final int number;

	private final Class<? extends Message> messageClass;

	MessageType(int number, Class<? extends Message> messageClass) {
		this.number = number;
		this.messageClass = messageClass;
	}

	public int number() {
		return this.number;
	}

	public Class<? extends Message> messageClass() {
		return this.messageClass;
	}

	/**
	 * Returns the type of a message.
	 * @param message the message
	 * @return the type
	 */
	public static MessageType of(Message message) {
		return BY_CLASS.get(message.getClass());
	}

	/**
	 * Finds a type by its number.
	 * @param number the number from a frame
	 * @return the type, or empty for an unknown number
	 */
	public static Optional<MessageType> of(int number) {
		return (number >= 0 && number < BY_NUMBER.length) ? Optional.ofNullable(BY_NUMBER[number]) : Optional.empty();
	}

}
