import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One connection of a client, with one request at a time. Used by one thread. */
final class Client implements AutoCloseable {

	/** An answer to a request. */
	record Answer(int status, String body) {
	}

	private final String address;

	private final Socket socket = new Socket();

	Client(String address, int timeoutMillis) throws IOException {
		this.address = address;
		int colon = address.lastIndexOf(':');
		this.socket.setTcpNoDelay(true);
		this.socket.connect(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				timeoutMillis);
		this.socket.setSoTimeout(timeoutMillis);
	}

	void send(String method, String path, Map<String, String> headers, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
		if (!headers.containsKey("Host")) {
			head.append("Host: " + this.address + "\r\n");
		}
		headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
		head.append("Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n");
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		all.writeBytes(bytes);
		this.socket.getOutputStream().write(all.toByteArray());
		this.socket.getOutputStream().flush();
	}

	/** Sends a part of a request. */
	void send(String part) throws IOException {
		this.socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
		this.socket.getOutputStream().flush();
	}

	Answer receive() throws IOException {
		InputStream in = this.socket.getInputStream();
		String status = line(in);
		int length = 0;
		for (String header = line(in); !header.isEmpty(); header = line(in)) {
			if (header.toLowerCase().startsWith("content-length:")) {
				length = Integer.parseInt(header.substring(15).trim());
			}
			if (header.toLowerCase().startsWith("transfer-encoding:")) {
				length = -1;
			}
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (length >= 0) {
			body.writeBytes(in.readNBytes(length));
		}
		else {
			for (int n = Integer.parseInt(line(in), 16); n > 0; n = Integer.parseInt(line(in), 16)) {
				body.writeBytes(in.readNBytes(n));
				line(in);
			}
			line(in);
		}
		return new Answer(Integer.parseInt(status.split(" ")[1]), body.toString(StandardCharsets.UTF_8));
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder out = new StringBuilder();
		for (int c = in.read(); c != '\n'; c = in.read()) {
			if (c < 0) {
				throw new EOFException();
			}
			if (c != '\r') {
				out.append((char) c);
			}
		}
		return out.toString();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
