package org.baobabspar.wire;

import io.netty.util.NetUtil;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * The address to which a link is opened. Its text is {@code host:port}. Immutable and
 * thread-safe.
 *
 * @param host the IP address or host name
 * @param port the port, from 1 to 65535
 */
public record LinkAddress(String host, int port) {

	private static final int MAX_PORT = 65_535;

	/** Maximum length of a host name in the domain name system. */
	private static final int MAX_HOST_CHARS = 253;

	/** Validates the components. */
	public LinkAddress {
		if (host.isEmpty() || host.length() > MAX_HOST_CHARS || !host.chars().allMatch((c) -> c > ' ' && c < 127)) {
			throw new CodedException(ResultCode.SETTING_INVALID, "host of " + host.length() + " characters");
		}
		if (port < 1 || port > MAX_PORT) {
			throw new CodedException(ResultCode.SETTING_INVALID, "port " + port + " is not in 1.." + MAX_PORT);
		}
	}

	/**
	 * Reads an address.
	 * @param text the address as {@code host:port}
	 * @return the address
	 * @throws CodedException with {@link ResultCode#SETTING_INVALID}
	 */
	public static LinkAddress of(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			throw new CodedException(ResultCode.SETTING_INVALID, "address without a port");
		}
		try {
			return new LinkAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new CodedException(ResultCode.SETTING_INVALID, "port is not a number", ex);
		}
	}

	/**
	 * Reads an address that must not be resolved.
	 * @param text the address as {@code ip:port}
	 * @return the address
	 * @throws CodedException with {@link ResultCode#SETTING_INVALID}
	 */
	public static LinkAddress ofIp(String text) {
		LinkAddress address = of(text);
		if (!NetUtil.isValidIpV4Address(address.host) && !NetUtil.isValidIpV6Address(address.host)) {
			throw new CodedException(ResultCode.SETTING_INVALID, "host is not an IP address");
		}
		return address;
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
