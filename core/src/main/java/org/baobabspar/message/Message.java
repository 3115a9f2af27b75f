package org.baobabspar.message;

/**
 * A message between two processes of the dispatcher. Implementations are immutable,
 * thread-safe records, encoded as arrays of their components by position;
 * {@link MessageType} assigns each a number in the protocol.
 */
public sealed interface Message permits AgentHello, AgentHeartbeat, TaskEnded, TaskRefused, FenceReply, JobSuperseded,
		AgentGoodbye, EntryNotice, EntryHello, EntryHeartbeat, Dispatch, Fence, DrainAck, GoodbyeAck, DocumentNotice,
		PeerHello, PeerWelcome, PeerHeartbeat, PeerEcho, AgentNotices, NoticesAck, JobAsk, JobAskReply, JobClaim,
		JobClaimReply, JobEnded, JobCancel, PeerGoodbye, SupervisorHello, EntryWelcome, LeaseRequest, LeaseGrant,
		RunStart, RunStop, RunEnded, RoutingNotice, CancelNotice, CancelReply, DrainNotice {

}
