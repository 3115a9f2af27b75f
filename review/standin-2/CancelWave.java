import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients cancel their jobs. Then the entries freeze in turn and wake again, while the
 * agents run on.
 */
final class CancelWave {

	private static final int CLIENTS = 20;

	private static final int CANCELLED_JOBS = 3_400;

	/** Interval between the jobs of a client, so that all clients cancel about 240 jobs a second. */
	private static final long CLIENT_INTERVAL_MILLIS = 80;

	private static final long FREEZE_MILLIS = 3_500;

	private static final long FREEZE_GAP_MILLIS = 1_000;

	private static final long RECOVERY_MILLIS = 12_000;

	private static final int MEASURED_REQUESTS = 20;

	private static final long REQUEST_INTERVAL_MILLIS = 250;

	private static final int REQUEST_TIMEOUT_MILLIS = 1_500;

	private final Deployment deployment;

	private final Record record;

	private final AtomicInteger lastJob = new AtomicInteger();

	private final AtomicInteger confirmed = new AtomicInteger();

	private CancelWave(Deployment deployment) {
		this.deployment = deployment;
		this.record = deployment.record;
	}

	public static void main(String[] args) throws IOException {
		Case.main(args, (record) -> new Deployment(3, 3, record),
				(deployment, trouble) -> new CancelWave(deployment).holds(trouble, !"cancels=0".equals(args[2])));
	}

	private boolean holds(boolean trouble, boolean cancels) throws Exception {
		int before = serve("before");
		if (before * 4 < MEASURED_REQUESTS) {
			throw new IOException("less than a quarter is served before the disruption");
		}
		if (trouble) {
			if (cancels) {
				cancelMany();
			}
			this.record.line("jobs cancelled and confirmed: " + this.confirmed.get());
			for (Program entry : this.deployment.entries) {
				this.record.line(entry + " SIGSTOP");
				entry.signal("STOP");
				Thread.sleep(FREEZE_MILLIS);
				entry.signal("CONT");
				this.record.line(entry + " SIGCONT");
				Thread.sleep(FREEZE_GAP_MILLIS);
			}
		}
		Thread.sleep(RECOVERY_MILLIS);
		for (int i = 0; i < this.deployment.readies.size(); i++) {
			this.record.line(this.deployment.entries.get(i) + " running=" + this.deployment.entries.get(i).running()
					+ " ready=" + Deployment.readyStatus(this.deployment.readies.get(i)));
		}
		int after = serve("after");
		this.record.line("served of " + MEASURED_REQUESTS + ": before=" + before + " later than 12 s after=" + after);
		return after * 4 >= MEASURED_REQUESTS;
	}

	/** Hands in jobs at all entries in turn, and returns how many were answered with success. */
	private int serve(String when) throws InterruptedException {
		int served = 0;
		for (int i = 0; i < MEASURED_REQUESTS; i++) {
			String job = nextJob();
			String front = this.deployment.fronts.get(i % this.deployment.fronts.size());
			try (Client client = new Client(front, REQUEST_TIMEOUT_MILLIS + 500)) {
				Client.Answer answer = client.post(Deployment.PREFIX + job, Deployment.job(100, 2),
						REQUEST_TIMEOUT_MILLIS);
				this.record.line(when + " job=" + job + " entry=" + (1 + i % 3) + " answered " + answer);
				served += (answer.status() == 200 && answer.body().contains("completed")) ? 1 : 0;
			}
			catch (IOException ex) {
				this.record.line(when + " job=" + job + " entry=" + (1 + i % 3) + " no answer: " + ex.getMessage());
			}
			Thread.sleep(REQUEST_INTERVAL_MILLIS);
		}
		return served;
	}

	private String nextJob() {
		return String.format("%016x", 0xcafe_0000L + this.lastJob.incrementAndGet());
	}

	private void cancelMany() throws InterruptedException {
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			int number = i;
			Thread thread = new Thread(() -> handInAndCancel(number));
			thread.start();
			clients.add(thread);
		}
		for (Thread client : clients) {
			client.join();
		}
	}

	private void handInAndCancel(int number) {
		String front = this.deployment.fronts.get(number % this.deployment.fronts.size());
		try (Client submitting = new Client(front, 5_000); Client cancelling = new Client(front, 5_000)) {
			for (int i = 0; i < CANCELLED_JOBS / CLIENTS; i++) {
				long begin = this.record.millis();
				String job = nextJob();
				String body = Deployment.job(300, 1);
				submitting.sendHead("POST", Deployment.PREFIX + job, REQUEST_TIMEOUT_MILLIS, body.length());
				submitting.send(body);
				Thread.sleep(10);
				cancelling.sendHead("DELETE", Deployment.PREFIX + job, REQUEST_TIMEOUT_MILLIS, 0);
				int status = cancelling.answer().status();
				this.confirmed.addAndGet((status == 200 || status == 410) ? 1 : 0);
				submitting.answer();
				Thread.sleep(Math.max(0, begin + CLIENT_INTERVAL_MILLIS - this.record.millis()));
			}
		}
		catch (IOException ex) {
			this.record.line("client=" + number + " ended: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
