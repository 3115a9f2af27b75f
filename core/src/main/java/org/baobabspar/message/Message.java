package org.baobabspar.message;

/**
 * A message between two processes of the dispatcher. Implementations are immutable
 * records and safe for any thread; {@link MessageType} gives each its number on the wire.
 */
public sealed interface Message permits AgentHello, AgentHeartbeat, TaskEnded, TaskRefused, FenceReply, JobSuperseded,
		AgentGoodbye, EntryNotice, EntryHello, EntryHeartbeat, Dispatch, Fence, DrainAck, GoodbyeAck, DocumentNotice,
		PeerHello, PeerWelcome, PeerHeartbeat, PeerEcho, AgentNotices, NoticesAck, JobAsk, JobAskReply, JobEnded,
		JobCancel, PeerGoodbye, SupervisorHello, EntryWelcome, LeaseRequest, LeaseGrant, RunStart, RunStop, RunEnded,
		RoutingNotice {

}
