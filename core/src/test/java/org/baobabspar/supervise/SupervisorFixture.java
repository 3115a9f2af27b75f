package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.List;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.Message;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.RunStart;
import org.testng.annotations.BeforeMethod;

/**
 * A {@link RunSupervisor} with a simulated clock and a driver that records its calls.
 */
abstract class SupervisorFixture {

	static final String LINK = "entry-1";

	static final Resources CORE = new Resources(1_000, 64, 0);

	long nowMillis;

	RecordingDriver driver;

	List<Message> sent;

	List<String> logLines;

	RunSupervisor supervisor;

	long lastStartSequence;

	@BeforeMethod
	void create() {
		this.nowMillis = 10_000;
		this.driver = new RecordingDriver();
		this.sent = new ArrayList<>();
		this.logLines = new ArrayList<>();
		this.lastStartSequence = 0;
		this.supervisor = new RunSupervisor("agent-1", 1, "domain-1", 100, this.driver,
				(link, message) -> this.sent.add(message), this.logLines::add);
	}

	void attach(long bornMillis) {
		this.supervisor.report(
				new EndpointReport("endpoint-1", bornMillis, 1, "service", CORE.times(4), List.of(), false),
				this.nowMillis);
		observe(bornMillis, List.of(), List.of());
	}

	void report(String endpointId, long bornMillis, long sequence) {
		this.supervisor.report(
				new EndpointReport(endpointId, bornMillis, sequence, "service", CORE.times(4), List.of(), false),
				this.nowMillis);
	}

	void link() {
		this.supervisor.welcomed(LINK, new EntryWelcome("entry-1", 7, 0, 0), this.nowMillis);
		grant();
	}

	void grant() {
		this.supervisor.granted(LINK, new LeaseGrant(this.nowMillis, 0, 0), this.nowMillis);
	}

	RunKey order(String task) {
		RunKey run = new RunKey("job", task, 1);
		this.supervisor.start(LINK, new RunStart(++this.lastStartSequence, run, "payload", CORE, 100, this.nowMillis),
				this.nowMillis);
		return run;
	}

	RunKey running(String task) {
		RunKey run = order(task);
		this.supervisor.startAnswered(run, StartAnswer.STARTED, this.nowMillis);
		return run;
	}

	void observe(long bornMillis, List<PresentRun> present, List<EndedRun> ended) {
		this.supervisor.pollAnswered(new RunInventory(this.nowMillis, bornMillis, present, ended), this.nowMillis);
	}

	void advance(long millis) {
		this.nowMillis += millis;
		this.supervisor.tick(this.nowMillis);
	}

	static EndpointCheckpoint endpointCheckpoint(double speed) {
		return new EndpointCheckpoint(
				new EndpointReport("endpoint-1", 5, 0, "service", CORE.times(4), List.of(), false), speed);
	}

	List<RunEnd> ends() {
		return this.sent.stream()
			.filter(RunEnded.class::isInstance)
			.map((message) -> ((RunEnded) message).end())
			.toList();
	}

	EndpointState state() {
		return this.supervisor.status(0, this.nowMillis).state();
	}

	final class RecordingDriver implements EndpointDriver {

		final List<RunKey> starts = new ArrayList<>();

		final List<String> stops = new ArrayList<>();

		long lastLeaseMillis = -1;

		/** Time, by the agent's clock, until which the endpoint holds a lease. */
		long leaseUntilMillis;

		long lastWaitMillis = -1;

		long lastFencingToken;

		int probes;

		long attachedBornMillis;

		@Override
		public void attach(EndpointReport report) {
			this.attachedBornMillis = report.bornMillis();
		}

		@Override
		public void start(RunKey run, String payload, EndpointLease lease, long fencingToken) {
			this.starts.add(run);
			extendLease(lease);
			this.lastFencingToken = fencingToken;
		}

		@Override
		public void stop(String task, long number, long fencingToken) {
			this.stops.add(task + "#" + number);
		}

		@Override
		public void poll(EndpointLease lease, long confirmedEnds, long waitMillis, long fencingToken) {
			this.lastLeaseMillis = lease.durationMillis();
			extendLease(lease);
			this.lastWaitMillis = waitMillis;
			this.lastFencingToken = fencingToken;
		}

		private void extendLease(EndpointLease lease) {
			this.leaseUntilMillis = Math.max(this.leaseUntilMillis, lease.untilMillis());
		}

		@Override
		public void probe(long confirmedEnds, long fencingToken) {
			this.probes++;
		}

	}

}
