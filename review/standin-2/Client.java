import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client, which can send the parts of a request one after the other. Confined to one thread. */
final class Client implements AutoCloseable {

	private final Socket socket = new Socket();

	private final InputStream in;

	private boolean lastAnswerCloses;

	Client(String address, int readTimeoutMillis) throws IOException {
		int colon = address.lastIndexOf(':');
		this.socket.setTcpNoDelay(true);
		this.socket.connect(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
		this.socket.setSoTimeout(readTimeoutMillis);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	void sendHead(String method, String path, long timeoutMillis, int bodyBytes) throws IOException {
		send(method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n"
				+ "Request-Timeout-Ms: " + timeoutMillis + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n");
	}

	void send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		this.socket.getOutputStream().flush();
	}

	Answer post(String path, String body, long timeoutMillis) throws IOException {
		sendHead("POST", path, timeoutMillis, body.length());
		send(body);
		return answer();
	}

	/** Reads an answer, or fails if the connection ends before the answer is complete. */
	Answer answer() throws IOException {
		String status = line();
		int length = 0;
		boolean chunked = false;
		for (String header = line(); !header.isEmpty(); header = line()) {
			String lower = header.toLowerCase();
			if (lower.startsWith("content-length:")) {
				length = Integer.parseInt(lower.substring("content-length:".length()).trim());
			}
			chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
			this.lastAnswerCloses |= lower.startsWith("connection:") && lower.contains("close");
		}
		String body = chunked ? chunks() : new String(bytes(length), StandardCharsets.UTF_8);
		return new Answer(Integer.parseInt(status.split(" ")[1]), body);
	}

	private String chunks() throws IOException {
		StringBuilder body = new StringBuilder();
		while (true) {
			int size = Integer.parseInt(line().trim(), 16);
			body.append(new String(bytes(size), StandardCharsets.UTF_8));
			line();
			if (size == 0) {
				return body.toString();
			}
		}
	}

	private byte[] bytes(int count) throws IOException {
		byte[] bytes = this.in.readNBytes(count);
		if (bytes.length < count) {
			throw new IOException("connection ended inside an answer");
		}
		return bytes;
	}

	private String line() throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int c = this.in.read(); c != '\n'; c = this.in.read()) {
			if (c < 0) {
				throw new IOException("connection ended without a complete answer");
			}
			if (c != '\r') {
				line.write(c);
			}
		}
		return line.toString(StandardCharsets.UTF_8);
	}

	boolean lastAnswerCloses() {
		return this.lastAnswerCloses;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/** An answer of an entry. */
	record Answer(int status, String body) {
	}

}
