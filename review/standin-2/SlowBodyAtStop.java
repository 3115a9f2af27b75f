import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Entries are stopped with SIGTERM in turn. A client that has had an open connection to
 * the entry sends the head of a request before the entry refuses new jobs, and the rest
 * of it a little later.
 */
final class SlowBodyAtStop {

	private static final long GRACE_MILLIS = 6_000;

	private static final long BODY_AFTER_HEAD_MILLIS = 400;

	/** When the head of the request is sent, after the SIGTERM of the entry. */
	private static final long[] HEAD_MILLIS = { 2_300, 2_400, 2_500 };

	private static final long WORK_MILLIS = 800;

	private final Deployment deployment;

	private final Record record;

	private final boolean trouble;

	private SlowBodyAtStop(Deployment deployment, boolean trouble) {
		this.deployment = deployment;
		this.record = deployment.record;
		this.trouble = trouble;
	}

	public static void main(String[] args) throws IOException {
		Case.main(args, (record) -> new Deployment(3, 2, record),
				(deployment, trouble) -> new SlowBodyAtStop(deployment, trouble).holds());
	}

	private boolean holds() throws Exception {
		int lost = 0;
		ExecutorService beside = Executors.newCachedThreadPool();
		for (int i = 0; i < HEAD_MILLIS.length; i++) {
			Program entry = this.deployment.entries.get(i);
			String front = this.deployment.fronts.get(i);
			try (Client client = new Client(front, 8_000)) {
				Client.Answer first = client.post(Deployment.PREFIX + id(i, 0), Deployment.job(100, 1), 5_000);
				this.record.line("client=" + i + " job=" + id(i, 0) + " answered " + first);
				if (first.status() != 200) {
					throw new IOException("the entry does not serve");
				}
				Future<?> stopping = null;
				if (this.trouble) {
					this.record.line(entry + " SIGTERM");
					stopping = beside.submit(() -> {
						entry.terminate(GRACE_MILLIS);
						this.record.line(entry + " ended, exit=" + entry.exit());
						return null;
					});
				}
				lost += send(client, i) ? 1 : 0;
				if (stopping != null) {
					stopping.get(10, TimeUnit.SECONDS);
					entry.start();
					if (!this.deployment.awaitReady(this.deployment.readies.get(i))) {
						throw new IOException("the entry is not ready again");
					}
				}
			}
		}
		this.record.line("requests lost: " + lost);
		return lost == 0;
	}

	private boolean send(Client client, int number) throws InterruptedException {
		String job = id(number, 1);
		String body = Deployment.job(WORK_MILLIS, 1);
		long completeMillis = 0;
		try {
			Thread.sleep(HEAD_MILLIS[number]);
			client.sendHead("POST", Deployment.PREFIX + job, 5_000, body.length());
			this.record.line("client=" + number + " job=" + job + " head sent");
			Thread.sleep(BODY_AFTER_HEAD_MILLIS);
			client.send(body);
			completeMillis = this.record.millis();
			this.record.line("client=" + number + " job=" + job + " last byte sent");
			Client.Answer answer = client.answer();
			this.record.line("client=" + number + " job=" + job + " answered " + answer);
			if (!this.trouble && answer.status() != 200) {
				throw new IllegalStateException("a request is not served without the disruption");
			}
			return false;
		}
		catch (IOException ex) {
			boolean started = this.deployment.hasStarted(job);
			this.record.line("client=" + number + " job=" + job + " no answer: " + ex.getMessage() + ", "
					+ (this.record.millis() - completeMillis) + " ms after the last byte, started on a worker: " + started);
			return started;
		}
	}

	private static String id(int client, int request) {
		return String.format("%016x", 0xb0b0L * 65_536 + client * 256L + request);
	}

}
