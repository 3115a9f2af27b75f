import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;

/**
 * A link on the way to an entry. While it is cut, no bytes and no ends of connections pass.
 * As in TCP, the sender of the bytes of a connection sends them again after 200 ms and after
 * twice the time from then on, so they pass with the first try after the cut. The end of the
 * connection follows by a round trip, when its sender has learned that the bytes have arrived.
 * Thread-safe.
 */
final class CutLink {

	private static final long FIRST_TIMEOUT_MILLIS = 200;

	private final ServerSocket server;

	private final String target;

	private final long roundTripMillis;

	private boolean cut;

	CutLink(String host, String target, long roundTripMillis) throws IOException {
		this.target = target;
		this.roundTripMillis = roundTripMillis;
		this.server = new ServerSocket(0, 256, InetAddress.getByName(host));
		start(this::accept);
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	synchronized void cut(boolean newCut) {
		this.cut = newCut;
	}

	private synchronized boolean isCut() {
		return this.cut;
	}

	/** Sends again until the link passes, and returns whether it was cut at first. */
	private boolean awaitPassage() throws InterruptedException {
		boolean held = isCut();
		long timeoutMillis = FIRST_TIMEOUT_MILLIS;
		while (isCut()) {
			Thread.sleep(timeoutMillis);
			timeoutMillis *= 2;
		}
		return held;
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "link");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (true) {
			try {
				Socket client = this.server.accept();
				Socket entry = new Socket();
				client.setTcpNoDelay(true);
				entry.setTcpNoDelay(true);
				int colon = this.target.lastIndexOf(':');
				entry.connect(new InetSocketAddress(this.target.substring(0, colon),
						Integer.parseInt(this.target.substring(colon + 1))));
				start(() -> copy(client, entry));
				start(() -> copy(entry, client));
			}
			catch (IOException ex) {
				if (this.server.isClosed()) {
					return;
				}
			}
		}
	}

	private void copy(Socket from, Socket to) {
		byte[] buffer = new byte[65_536];
		boolean heldBefore = false;
		try {
			InputStream in = from.getInputStream();
			for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
				heldBefore = awaitPassage();
				to.getOutputStream().write(buffer, 0, n);
			}
			if (heldBefore) {
				Thread.sleep(this.roundTripMillis);
			}
			awaitPassage();
		}
		catch (SocketException ex) {
			// One side has closed its connection; the other one is closed below.
		}
		catch (IOException | InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		close(from);
		close(to);
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// It is closed.
		}
	}

}
