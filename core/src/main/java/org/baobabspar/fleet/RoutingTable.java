package org.baobabspar.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A version of the routing table. Immutable and thread-safe.
 *
 * @param version monotonically increasing version; a process never returns to a lower one
 * @param routes the routes
 * @param maxBodyBytes maximum size of a request body
 */
public record RoutingTable(long version, List<Route> routes, int maxBodyBytes) {

	public RoutingTable {
		routes = List.copyOf(routes);
	}

	/**
	 * Finds the route of a request.
	 * @param host host name of the request, compared without regard to case
	 * @param path path of the request
	 * @return the matching route with the longest path prefix
	 */
	public Optional<Route> find(String host, String path) {
		return this.routes.stream()
			.filter((r) -> r.host().equalsIgnoreCase(host) && path.startsWith(r.pathPrefix()))
			.max(Comparator.comparingInt((r) -> r.pathPrefix().length()));
	}

}
