package org.baobabspar.guard;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The connections of all clients of one process, and one account of the memory that their
 * requests hold. When either is exhausted, a connection is closed: first those without a
 * request, then those whose request is incomplete. A complete request is never given up
 * for another one.
 * <p>
 * Invariants: there are never more connections than allowed; the account never exceeds
 * its limit when a call returns; what a connection holds is returned when it ends, once.
 * Thread-safe.
 */
public final class ConnectionRegistry {

	private final GuardLimits limits;

	private final Consumer<ShedReason> listener;

	/** In the order of their last request or answer, the oldest first. */
	private final Set<ConnectionGuard> connections = new LinkedHashSet<>();

	private long heldBytes;

	/**
	 * Creates the registry of a process.
	 * @param limits the limits
	 * @param listener is told of each connection that is closed
	 */
	public ConnectionRegistry(GuardLimits limits, Consumer<ShedReason> listener) {
		this.limits = limits;
		this.listener = listener;
	}

	public GuardLimits limits() {
		return this.limits;
	}

	/**
	 * Adds a connection, in place of another one if there are too many.
	 * @param connection the connection
	 * @return whether there is room for it
	 */
	synchronized boolean add(ConnectionGuard connection) {
		if (this.connections.size() >= this.limits.maxConnections()) {
			Optional<ConnectionGuard> victim = first(ConnectionGuard.Stage.IDLE)
				.or(() -> first(ConnectionGuard.Stage.RECEIVING));
			if (victim.isEmpty()) {
				this.listener.accept(ShedReason.CONNECTIONS);
				return false;
			}
			shed(victim.get(), ShedReason.CONNECTIONS);
		}
		this.connections.add(connection);
		return true;
	}

	private Optional<ConnectionGuard> first(ConnectionGuard.Stage stage) {
		return this.connections.stream().filter((c) -> c.stage == stage).findFirst();
	}

	/**
	 * Moves a connection to another stage, and behind all others.
	 * @param connection the connection
	 * @param stage the stage
	 */
	synchronized void move(ConnectionGuard connection, ConnectionGuard.Stage stage) {
		connection.stage = stage;
		if (this.connections.remove(connection)) {
			this.connections.add(connection);
		}
	}

	/**
	 * Charges a connection for a part of a request. If the account is exhausted, the
	 * incomplete requests that hold most are given up.
	 * @param connection the connection
	 * @param bytes the memory that the part takes
	 * @return whether the connection may go on
	 */
	synchronized boolean charge(ConnectionGuard connection, long bytes) {
		if (!this.connections.contains(connection)) {
			return false;
		}
		connection.heldBytes += bytes;
		this.heldBytes += bytes;
		while (this.heldBytes > this.limits.maxInputBytes()) {
			ConnectionGuard victim = this.connections.stream()
				.filter((c) -> c.stage == ConnectionGuard.Stage.RECEIVING)
				.max(Comparator.comparingLong((c) -> c.heldBytes))
				.orElse(connection);
			shed(victim, ShedReason.MEMORY);
		}
		return this.connections.contains(connection);
	}

	synchronized void release(ConnectionGuard connection, long bytes) {
		if (this.connections.contains(connection)) {
			connection.heldBytes -= bytes;
			this.heldBytes -= bytes;
		}
	}

	synchronized void shed(ConnectionGuard connection, ShedReason reason) {
		if (this.connections.contains(connection)) {
			remove(connection);
			this.listener.accept(reason);
			connection.close(reason);
		}
	}

	synchronized void remove(ConnectionGuard connection) {
		if (this.connections.remove(connection)) {
			this.heldBytes -= connection.heldBytes;
			connection.heldBytes = 0;
		}
	}

	synchronized int size() {
		return this.connections.size();
	}

	synchronized long heldBytes() {
		return this.heldBytes;
	}

}
