import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of the platform's ingress for one zone with one entry. Asks each entry once a
 * second whether it is ready. After two misses an entry gets no new connections until it
 * answers 200 again; then the next entry of the list, which stands in the nearest zone, is
 * used. An open connection stays with its entry.
 */
final class Balancer {

	private static final int MISSES = 2;

	private static final long READY_INTERVAL_MILLIS = 1_000;

	private static final int READY_TIMEOUT_MILLIS = 900;

	private final ServerSocket socket;

	private final List<Entry> entries;

	private final Record record;

	Balancer(String host, List<Entry> entries, Record record) throws IOException {
		this.socket = new ServerSocket(0, 64, InetAddress.getByName(host));
		this.entries = entries;
		this.record = record;
		entries.forEach((entry) -> daemon(() -> check(entry)));
		daemon(this::accept);
	}

	String address() {
		return this.socket.getInetAddress().getHostAddress() + ":" + this.socket.getLocalPort();
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void check(Entry entry) {
		while (true) {
			long askedMillis = Record.nowMillis();
			boolean ready = Client.send(entry.ready, "GET", "/ready", entry.ready, "", "", READY_TIMEOUT_MILLIS)
				.status() == 200;
			int before = entry.misses.get();
			entry.misses.set(ready ? 0 : before + 1);
			if (inRotation(before) != inRotation(entry.misses.get())) {
				this.record.add("ingress entry " + entry.name + (ready ? " in" : " out of") + " rotation");
			}
			sleep(askedMillis + READY_INTERVAL_MILLIS - Record.nowMillis());
		}
	}

	private static boolean inRotation(int misses) {
		return misses < MISSES;
	}

	boolean inRotation(String name) {
		return this.entries.stream().anyMatch((entry) -> entry.name.equals(name) && inRotation(entry.misses.get()));
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void accept() {
		while (true) {
			try {
				Socket client = this.socket.accept();
				daemon(() -> forward(client));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void forward(Socket client) {
		Entry entry = this.entries.stream()
			.filter((e) -> inRotation(e.misses.get()))
			.findFirst()
			.orElse(this.entries.get(0));
		this.record.add("ingress connection to entry " + entry.name);
		try {
			Socket server = Client.connect(entry.front, 1_000);
			server.setSoTimeout(0);
			daemon(() -> copy(client, server));
			copy(server, client);
		}
		catch (IOException ex) {
			close(client);
		}
	}

	private static void copy(Socket from, Socket to) {
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] buffer = new byte[8_192];
			for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
				out.write(buffer, 0, n);
			}
		}
		catch (IOException ex) {
			// The end of either side ends both.
		}
		close(from);
		close(to);
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	/** An entry as the platform knows it. */
	static final class Entry {

		final String name;

		final String front;

		final String ready;

		final AtomicInteger misses = new AtomicInteger(MISSES);

		Entry(String name, String front, String ready) {
			this.name = name;
			this.front = front;
			this.ready = ready;
		}

	}

}
