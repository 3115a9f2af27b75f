import java.io.IOException;

/**
 * One report about a worker comes from another writer, with fields missing. Later the worker
 * says that it drains, and goes on serving for some seconds.
 */
final class OddPing {

	private static final long DRAIN_MILLIS = 2_000;

	/** Number of the odd report, from the count of its writer. */
	private static final int ODD_SEQUENCE = 100;

	private static final long REQUEST_INTERVAL_MILLIS = 100;

	private static final long BEFORE_DRAIN_MILLIS = 4_000;

	private static final long SERVING_MILLIS = 9_000;

	/** Needs 40 cores, more than one worker has. */
	private static final String WIDE_JOB = Deployment.job(50, 8).replace("\"cpu\":1000", "\"cpu\":5000");

	private final Deployment deployment;

	private final Record record;

	private int sent;

	private int served;

	private OddPing(Deployment deployment) {
		this.deployment = deployment;
		this.record = deployment.record;
	}

	public static void main(String[] args) throws IOException {
		Case.main(args, (record) -> new Deployment(1, 2, record),
				(deployment, trouble) -> new OddPing(deployment).holds(trouble));
	}

	private boolean holds(boolean trouble) throws Exception {
		Worker worker = this.deployment.workers.get(0);
		if (trouble) {
			sendOddPing(worker);
		}
		serve(BEFORE_DRAIN_MILLIS);
		if (worker.startCount() == 0) {
			throw new IOException("the worker got no work before it drained");
		}
		worker.drain();
		serve(SERVING_MILLIS);
		long confirmedMillis = worker.drainConfirmedMillis();
		if (confirmedMillis < 0) {
			throw new IOException("the draining was never confirmed");
		}
		long lateMillis = worker.lastStartMillis() - confirmedMillis;
		this.record.line("requests sent=" + this.sent + " served=" + this.served);
		this.record.line("draining confirmed at " + confirmedMillis + ", last start on the worker at "
				+ worker.lastStartMillis() + ", after the confirmation: " + lateMillis + " ms");
		if (!trouble && this.served < this.sent) {
			throw new IOException("not all requests are served without the disruption");
		}
		return lateMillis <= DRAIN_MILLIS;
	}

	/** Sends a report without address, zone, version, slots, labels and times. */
	private void sendOddPing(Worker worker) throws IOException {
		String body = "{\"backend\":\"" + Deployment.SERVICE + "\",\"state\":\"ready\",\"capacity\":{\"cpu\":32000,"
				+ "\"mem_mb\":65536},\"born\":" + worker.bornMillis() + ",\"seq\":" + ODD_SEQUENCE + "}";
		try (Client client = new Client(this.deployment.controls.get(0), 1_000)) {
			client.sendHead("POST", "/instances/i-1/heartbeat", 1_000, body.length());
			client.send(body);
			this.record.line("report of another writer " + body + " answered " + client.answer());
		}
	}

	private void serve(long millis) throws InterruptedException {
		long until = this.record.millis() + millis;
		while (this.record.millis() < until) {
			String job = String.format("%016x", 0xdead_0000L + this.sent++);
			try (Client client = new Client(this.deployment.fronts.get(0), 2_000)) {
				Client.Answer answer = client.post(Deployment.PREFIX + job, WIDE_JOB, 1_500);
				this.served += (answer.status() == 200) ? 1 : 0;
				this.record.line("job=" + job + " answered " + answer);
			}
			catch (IOException ex) {
				this.record.line("job=" + job + " no answer: " + ex.getMessage());
			}
			Thread.sleep(REQUEST_INTERVAL_MILLIS);
		}
	}

}
