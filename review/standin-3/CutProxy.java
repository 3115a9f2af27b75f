import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;

/**
 * The path between clients and the front address of an entry. While it is cut, nothing passes in either direction,
 * also no end of a connection, and what is lost with a reset sender stays lost. Safe for any thread.
 */
final class CutProxy {

	private final ServerSocket server;

	private final String target;

	private final ExecutorService threads;

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private volatile boolean cut;

	CutProxy(String target, ExecutorService threads) throws IOException {
		this.target = target;
		this.threads = threads;
		this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		threads.execute(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	void cut(boolean value) {
		this.cut = value;
	}

	private void accept() {
		while (true) {
			try {
				Socket client = this.server.accept();
				int colon = this.target.lastIndexOf(':');
				Socket entry = new Socket();
				entry.connect(new InetSocketAddress(this.target.substring(0, colon),
						Integer.parseInt(this.target.substring(colon + 1))));
				client.setTcpNoDelay(true);
				entry.setTcpNoDelay(true);
				this.sockets.add(client);
				this.sockets.add(entry);
				this.threads.execute(() -> copy(client, entry));
				this.threads.execute(() -> copy(entry, client));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void copy(Socket from, Socket to) {
		byte[] buffer = new byte[65_536];
		boolean lost = false;
		try {
			for (int n = from.getInputStream().read(buffer); n >= 0; n = from.getInputStream().read(buffer)) {
				lost |= this.cut;
				if (!lost) {
					to.getOutputStream().write(buffer, 0, n);
				}
			}
		}
		catch (IOException ex) {
			// The connection was reset.
		}
		if (this.cut || lost) {
			return;
		}
		try {
			from.close();
			to.close();
		}
		catch (IOException ex) {
			// It is closed.
		}
	}

}
