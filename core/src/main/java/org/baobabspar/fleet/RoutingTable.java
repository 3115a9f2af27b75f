package org.baobabspar.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The routes in force. Immutable and safe for any thread.
 *
 * @param version versions rise; a process never goes back to a lower one
 * @param routes the routes
 * @param maxBodyBytes largest body of a request
 */
public record RoutingTable(long version, List<Route> routes, int maxBodyBytes) {

	/** Check the fields. */
	public RoutingTable {
		routes = List.copyOf(routes);
	}

	/**
	 * Find the route of a request.
	 * @param host the host that the caller named
	 * @param path the path
	 * @return the route with the longest matching prefix
	 */
	public Optional<Route> find(String host, String path) {
		return this.routes.stream()
			.filter((r) -> r.host().equalsIgnoreCase(host) && path.startsWith(r.pathPrefix()))
			.max(Comparator.comparingInt((r) -> r.pathPrefix().length()));
	}

}
