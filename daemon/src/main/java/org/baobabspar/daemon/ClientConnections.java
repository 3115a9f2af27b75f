package org.baobabspar.daemon;

import org.baobabspar.guard.ConnectionRegistry;
import org.baobabspar.guard.GuardLimits;
import org.baobabspar.guard.ShedReason;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.baobabspar.node.RejectedInputs;

/**
 * Creates the registry of the client connections of a process, which logs and counts
 * those that are closed. Stateless and thread-safe.
 */
public final class ClientConnections {

	private static final byte[] NO_VALUE = new byte[0];

	private ClientConnections() {
	}

	/**
	 * Creates the registry of a process with the descriptors that the operating system
	 * allows it.
	 * @return the registry
	 */
	public static ConnectionRegistry ofProcess() {
		return registry(GuardLimits.of(GuardLimits.processDescriptors()), new RejectedInputs((source) -> {
		}));
	}

	/**
	 * Creates a registry.
	 * @param limits the limits
	 * @param rejected records the connections that are closed
	 * @return the registry
	 */
	public static ConnectionRegistry registry(GuardLimits limits, RejectedInputs rejected) {
		return new ConnectionRegistry(limits, (reason) -> rejected.reject("connection_" + reason, "", NO_VALUE,
				new CodedException(ResultCode.OVERLOADED, description(reason))));
	}

	private static String description(ShedReason reason) {
		return "client connection closed, " + reason;
	}

}
