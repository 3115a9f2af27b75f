package org.baobabspar.message;

/**
 * What an entry announces of itself. Immutable.
 *
 * @param entryId the name from its settings
 * @param incarnation random for each start
 * @param failureDomain the failure domain from its settings
 * @param host the IP address that agents and peers reach it by
 * @param port the port for agents and peers
 */
public record EntryInfo(String entryId, String incarnation, String failureDomain, String host, int port) {

	public String ref() {
		return this.entryId + "@" + this.incarnation;
	}

	public String address() {
		return this.host + ":" + this.port;
	}

}
