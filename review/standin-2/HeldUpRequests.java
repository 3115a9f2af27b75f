import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry is cut off from its clients for some seconds. Clients that have sent their jobs
 * into the cut give up at their deadline, close their connections and send the jobs again
 * through the other entry. When the cut is over, the requests reach the first entry.
 */
final class HeldUpRequests {

	private static final int CLIENTS = 60;

	private static final long CLIENT_INTERVAL_MILLIS = 16;

	private static final int TIMEOUT_MILLIS = 1_500;

	private static final long RETRANSMIT_MILLIS = 1_300;

	private static final long WORK_MILLIS = 1_200;

	/** From the first request to the end of the cut. */
	private static final long CUT_MILLIS = 2_700;

	private static final long ROUND_TRIP_MILLIS = 6;

	private final Deployment deployment;

	private final Record record;

	/** Jobs that were answered with success at the first try. */
	private final AtomicInteger completed = new AtomicInteger();

	private HeldUpRequests(Deployment deployment) {
		this.deployment = deployment;
		this.record = deployment.record;
	}

	public static void main(String[] args) throws IOException {
		Case.main(args, (record) -> new Deployment(2, 6, record),
				(deployment, trouble) -> new HeldUpRequests(deployment).holds(trouble));
	}

	private boolean holds(boolean trouble) throws Exception {
		CutLink link = new CutLink("127.0.3.1", this.deployment.fronts.get(0), ROUND_TRIP_MILLIS);
		List<Client> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			Client client = new Client(link.address(), TIMEOUT_MILLIS);
			if (client.post(Deployment.PREFIX + id(i, 0), Deployment.job(10, 1), TIMEOUT_MILLIS).status() != 200) {
				throw new IOException("the entry does not serve");
			}
			clients.add(client);
		}
		if (trouble) {
			link.cut(true);
			this.record.line("the link to entry-1 is cut");
		}
		long begin = this.record.millis();
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			int number = i;
			Thread thread = new Thread(() -> run(clients.get(number), number));
			thread.start();
			threads.add(thread);
			Thread.sleep(CLIENT_INTERVAL_MILLIS);
		}
		Thread.sleep(Math.max(0, begin + CUT_MILLIS - this.record.millis()));
		link.cut(false);
		this.record.line("the link to entry-1 passes everything");
		for (Thread thread : threads) {
			thread.join();
		}
		Thread.sleep(1_000);
		if (!trouble && this.completed.get() < CLIENTS) {
			throw new IOException("not all requests are served without the disruption");
		}
		int overlaps = Worker.overlaps(this.deployment.workers, this.record);
		this.record.line("tasks with two runs at the same time: " + overlaps);
		return overlaps == 0;
	}

	private void run(Client client, int number) {
		String job = id(number, 1);
		String body = Deployment.job(WORK_MILLIS, 1);
		try {
			try (client) {
				this.record.line("job=" + job + " sent through entry-1");
				Client.Answer answer = client.post(Deployment.PREFIX + job, body, TIMEOUT_MILLIS);
				this.record.line("job=" + job + " answered " + answer);
				this.completed.addAndGet((answer.status() == 200) ? 1 : 0);
				return;
			}
			catch (SocketTimeoutException ex) {
				this.record.line("job=" + job + " got no response in time, its connection is closed");
			}
			Thread.sleep(RETRANSMIT_MILLIS);
			try (Client again = new Client(this.deployment.fronts.get(1), TIMEOUT_MILLIS + 500)) {
				this.record.line("job=" + job + " sent again through entry-2");
				this.record.line("job=" + job + " answered " + again.post(Deployment.PREFIX + job, body, TIMEOUT_MILLIS));
			}
		}
		catch (IOException ex) {
			this.record.line("job=" + job + " no answer: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String id(int client, int request) {
		return String.format("%016x", 0xfade_0000L + client * 256L + request);
	}

}
