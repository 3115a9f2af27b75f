import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A worker loses power just before a job comes, and has it again some seconds later. Meanwhile a desired state moves the
 * queue to another service, and the client, which got no success, sends its job again.
 */
final class OldService extends Scenario {

	private static final int ROUNDS = 3;

	private static final int TASKS = 20;

	private static final long WORK_MILLIS = 2_100;

	private static final long DARK_MILLIS = 4_500;

	private static final long FIRST_TIMEOUT_MILLIS = 2_000;

	private static final long SECOND_TIMEOUT_MILLIS = 8_000;

	private static final long RETRANSMIT_MILLIS = 1_300;

	private static final long CONFIG_APPLY_MILLIS = 2_000;

	private int version;

	public static void main(String[] args) {
		main(new OldService(), args);
	}

	@Override
	boolean play(Record record) throws Exception {
		boolean held = true;
		try (Deployment d = new Deployment(record, 1, 4, WORK_MILLIS, 32_000)) {
			d.workers.get(2).service = "other";
			d.workers.get(3).service = "other";
			put(d, "service");
			d.awaitReady(30_000);
			for (int i = 1; i <= ROUNDS; i++) {
				held &= play(d, String.format("%016x", i));
				put(d, "service");
				TimeUnit.MILLISECONDS.sleep(3_000);
			}
		}
		return held;
	}

	private void put(Deployment d, String service) {
		d.backend = service;
		d.configure(++this.version, 2);
		d.record.add("version " + this.version + " is confirmed: " + service + " runs the queue");
	}

	private boolean play(Deployment d, String id) throws Exception {
		if (this.trouble) {
			d.workers.get(0).powerOff();
			d.timer.schedule(d.workers.get(0)::powerOn, DARK_MILLIS, TimeUnit.MILLISECONDS);
		}
		Future<Client.Answer> first = d.threads.submit(() -> handIn(d, id, FIRST_TIMEOUT_MILLIS));
		TimeUnit.MILLISECONDS.sleep(100);
		put(d, "other");
		long confirmedMillis = Record.millis();
		boolean answered = first.get().status() == 200;
		TimeUnit.MILLISECONDS.sleep(RETRANSMIT_MILLIS);
		long sentMillis = Record.millis();
		if (answered || sentMillis <= confirmedMillis + CONFIG_APPLY_MILLIS) {
			throw new IllegalStateException("the job is not sent again in time");
		}
		Client.Answer second = handIn(d, id, SECOND_TIMEOUT_MILLIS);
		long startsByOld = d.runsOf(id)
			.stream()
			.filter((run) -> run.startMillis > sentMillis && run.worker.service.equals("service"))
			.peek((run) -> d.record.add("by the old service: " + run))
			.count();
		d.record.add("job " + id + " was sent again " + (sentMillis - confirmedMillis) + " ms after the confirmation, "
				+ startsByOld + " starts by the old service since");
		TimeUnit.MILLISECONDS.sleep(1_000);
		return startsByOld == 0 || second.status() != 200;
	}

	private static Client.Answer handIn(Deployment d, String id, long timeoutMillis) throws IOException {
		try (Client client = new Client(d.fronts.get("e1"), (int) timeoutMillis + 1_000)) {
			client.send("POST", Deployment.PREFIX + id,
					Map.of("Host", Deployment.HOST, "Request-Timeout-Ms", Long.toString(timeoutMillis)),
					"{\"spec\":\"text\",\"best_effort\":true,\"steps\":[{\"count\":" + TASKS
							+ ",\"cpu\":3100,\"mem_mb\":64,\"est_runtime_ms\":1286}]}");
			d.record.add("job " + id + " sent");
			Client.Answer answer = client.receive();
			d.record.add("job " + id + " answered " + answer);
			return answer;
		}
	}

}
