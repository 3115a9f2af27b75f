import java.io.IOException;
import java.util.List;

/**
 * A worker is lost for good just before a job comes. A desired state then moves the queue to
 * another service. The job gets no success in time, and its client sends it again.
 */
final class LostWorkerAndNewService {

	private static final int TIMEOUT_MILLIS = 1_500;

	private static final long RETRANSMIT_MILLIS = 1_300;

	private static final long CONFIG_APPLY_MILLIS = 2_000;

	private static final int TASKS = 60;

	private static final long WORK_MILLIS = 400;

	private final Deployment deployment;

	private final Record record;

	private LostWorkerAndNewService(Deployment deployment) {
		this.deployment = deployment;
		this.record = deployment.record;
	}

	public static void main(String[] args) throws IOException {
		Case.main(args[0],
				(record) -> new Deployment(1,
						List.of(Deployment.SERVICE, Deployment.SERVICE, Deployment.OTHER_SERVICE,
								Deployment.OTHER_SERVICE),
						record, Deployment.GRACE_SECONDS),
				(deployment, trouble) -> new LostWorkerAndNewService(deployment).holds(trouble));
	}

	private boolean holds(boolean trouble) throws Exception {
		Worker lost = this.deployment.workers.get(0);
		Worker old = this.deployment.workers.get(1);
		boolean loses = trouble && !"0".equals(System.getenv("LOSS"));
		if (loses) {
			lost.goDark();
		}
		String job = String.format("%016x", 0xfeed_0001L);
		long confirmedMillis = -1;
		try (Client client = new Client(this.deployment.fronts.get(0), TIMEOUT_MILLIS + 500)) {
			String body = body();
			client.sendHead("POST", Deployment.PREFIX + job, TIMEOUT_MILLIS, body.length());
			client.send(body);
			this.record.line("job sent");
			Thread.sleep(100);
			if (trouble) {
				this.deployment.putConfig(12, Deployment.OTHER_SERVICE);
				confirmedMillis = this.record.millis();
				this.record.line("version 12 confirmed: the queue is run by " + Deployment.OTHER_SERVICE);
			}
			this.record.line("job answered " + client.answer());
		}
		Thread.sleep(RETRANSMIT_MILLIS);
		int startsBefore = old.startCount();
		long sentMillis = this.record.millis();
		boolean late = confirmedMillis >= 0 && sentMillis - confirmedMillis > CONFIG_APPLY_MILLIS;
		this.record.line("job sent again, later than config_apply_ms after a confirmation: " + late);
		try (Client client = new Client(this.deployment.fronts.get(0), TIMEOUT_MILLIS + 500)) {
			this.record.line("job answered " + client.post(Deployment.PREFIX + job, body(), TIMEOUT_MILLIS));
		}
		int startsByOld = old.startCount() - startsBefore;
		this.record.line("starts on worker i-2 of the first service by the request that was sent again: " + startsByOld);
		if (trouble && !late) {
			throw new IOException("the request was sent too early");
		}
		return !late || startsByOld == 0;
	}

	private static String body() {
		return "{\"spec\":\"" + WORK_MILLIS + " ms\",\"best_effort\":true,\"steps\":[{\"count\":" + TASKS
				+ ",\"cpu\":4000,\"mem_mb\":64,\"est_runtime_ms\":" + WORK_MILLIS + "}]}";
	}

}
