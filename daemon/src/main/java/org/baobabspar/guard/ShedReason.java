package org.baobabspar.guard;

/**
 * Why a connection of a client was closed. Immutable and thread-safe.
 */
public enum ShedReason {

	/** There were too many connections, and this one had been idle for longest. */
	CONNECTIONS,

	/** Requests took too much memory, and this one took most and was incomplete. */
	MEMORY,

	/** The client sent too many requests ahead of the answers, or read none. */
	REQUESTS_AHEAD,

	/** The client went on sending a request that had been answered already. */
	ANSWERED,

	/** The client stopped half-way through a request. */
	STALLED

}
