package org.baobabspar.message;

/**
 * Identity and address that an entry announces. Immutable.
 *
 * @param entryId id of the entry from its settings
 * @param incarnation random id drawn at each process start
 * @param failureDomain failure domain from the settings
 * @param host IP address for agents and other entries
 * @param port port for agents and other entries
 */
public record EntryInfo(String entryId, String incarnation, String failureDomain, String host, int port) {

	public String ref() {
		return this.entryId + "@" + this.incarnation;
	}

	public String address() {
		return this.host + ":" + this.port;
	}

}
