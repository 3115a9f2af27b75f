import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The grace period of the installation is not a whole number of seconds. An entry is stopped
 * with SIGTERM while it answers requests.
 */
final class FractionalGrace {

	private static final long GRACE_MILLIS = 5_500;

	private static final int CLIENTS = 5;

	private static final long WORK_MILLIS = 800;

	private FractionalGrace() {
	}

	public static void main(String[] args) throws IOException {
		Case.main(args, (record) -> new Deployment(2, 2, record, "5.5"), FractionalGrace::holds);
	}

	private static boolean holds(Deployment deployment, boolean trouble) throws Exception {
		ExecutorService beside = Executors.newCachedThreadPool();
		Record record = deployment.record;
		Program entry = deployment.entries.get(0);
		List<Future<Boolean>> requests = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			String job = String.format("%016x", 0xace_0000L + i);
			requests.add(beside.submit(() -> isLost(deployment, job, trouble)));
		}
		Thread.sleep(300);
		if (trouble) {
			record.line(entry + " SIGTERM");
			entry.terminate(GRACE_MILLIS);
			record.line(entry + " ended, exit=" + entry.exit());
		}
		int lost = 0;
		for (Future<Boolean> request : requests) {
			lost += request.get(10, TimeUnit.SECONDS) ? 1 : 0;
		}
		record.line("requests lost: " + lost + " of " + CLIENTS);
		return lost == 0;
	}

	private static boolean isLost(Deployment deployment, String job, boolean trouble) {
		Record record = deployment.record;
		try (Client client = new Client(deployment.fronts.get(0), 8_000)) {
			record.line("job=" + job + " sent");
			Client.Answer answer = client.post(Deployment.PREFIX + job, Deployment.job(WORK_MILLIS, 1), 5_000);
			record.line("job=" + job + " answered " + answer);
			if (!trouble && answer.status() != 200) {
				throw new IllegalStateException("a request is not served without the disruption");
			}
			return false;
		}
		catch (IOException ex) {
			boolean started = deployment.hasStarted(job);
			record.line("job=" + job + " no answer: " + ex.getMessage() + ", started on a worker: " + started);
			return started;
		}
	}

}
