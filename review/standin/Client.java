import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP calls, each on a connection of its own. */
final class Client {

	private Client() {
	}

	/**
	 * Sends a request and reads the answer.
	 * @return the answer, with status 0 if the connection broke or no answer came in time
	 */
	static Answer send(String address, String method, String path, String host, String headers, String body,
			int timeoutMillis) {
		try (Socket socket = connect(address, timeoutMillis)) {
			socket.getOutputStream().write(request(method, path, host, headers, body));
			return read(socket.getInputStream());
		}
		catch (IOException ex) {
			return new Answer(0, ex.getClass().getSimpleName());
		}
	}

	static Socket connect(String address, int timeoutMillis) throws IOException {
		int colon = address.lastIndexOf(':');
		Socket socket = new Socket();
		socket.setTcpNoDelay(true);
		socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				timeoutMillis);
		socket.setSoTimeout(timeoutMillis);
		return socket;
	}

	static byte[] request(String method, String path, String host, String headers, String body) {
		byte[] content = body.getBytes(StandardCharsets.UTF_8);
		String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers
				+ (body.isEmpty() ? "" : "Content-Type: application/json\r\n") + "Content-Length: " + content.length
				+ "\r\n\r\n";
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
		out.writeBytes(content);
		return out.toByteArray();
	}

	static Answer read(InputStream in) throws IOException {
		String status = line(in);
		if (!status.startsWith("HTTP/1.1 ")) {
			return new Answer(0, status.isEmpty() ? "closed" : "not HTTP");
		}
		int length = -1;
		boolean chunked = false;
		for (String header = line(in); !header.isEmpty(); header = line(in)) {
			String lower = header.toLowerCase();
			if (lower.startsWith("content-length:")) {
				length = Integer.parseInt(lower.substring(15).trim());
			}
			chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
		}
		StringBuilder body = new StringBuilder();
		if (chunked) {
			for (int size = size(in); size > 0; size = size(in)) {
				body.append(new String(exactly(in, size), StandardCharsets.UTF_8));
				line(in);
			}
			line(in);
		}
		else if (length > 0) {
			body.append(new String(exactly(in, length), StandardCharsets.UTF_8));
		}
		return new Answer(Integer.parseInt(status.split(" ")[1]), body.toString());
	}

	private static int size(InputStream in) throws IOException {
		return Integer.parseInt(line(in).trim(), 16);
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new IOException("answer cut off");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
			if (c != '\r') {
				line.append((char) c);
			}
		}
		return line.toString();
	}

	/** An answer; status 0 stands for none. */
	record Answer(int status, String body) {
	}

}
