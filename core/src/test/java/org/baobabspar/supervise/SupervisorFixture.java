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
 * A {@link RunSupervisor} with a clock and an endpoint under control.
 */
abstract class SupervisorFixture {

	static final String LINK = "entry-1";

	static final Resources CORE = new Resources(1_000, 64, 0);

	long nowMillis;

	RecordingDriver driver;

	List<Message> sent;

	RunSupervisor supervisor;

	long sequence;

	@BeforeMethod
	void create() {
		this.nowMillis = 10_000;
		this.driver = new RecordingDriver();
		this.sent = new ArrayList<>();
		this.sequence = 0;
		this.supervisor = new RunSupervisor("agent-1", 1, "domain-1", 100, this.driver, (link, m) -> this.sent.add(m),
				(line) -> {
				});
	}

	void attach(long born) {
		this.supervisor.report(new EndpointReport("endpoint-1", born, 1, "service", CORE.times(4), List.of(), false),
				this.nowMillis);
		observe(born, List.of(), List.of());
	}

	void link() {
		this.supervisor.welcomed(LINK, new EntryWelcome("entry-1", 7, 0, 0), this.nowMillis);
		grant();
	}

	void grant() {
		this.supervisor.granted(LINK, new LeaseGrant(this.nowMillis, 0));
	}

	RunKey order(String task) {
		RunKey run = new RunKey("job", task, 1);
		this.supervisor.start(LINK, new RunStart(++this.sequence, run, "payload", CORE, 100, this.nowMillis),
				this.nowMillis);
		return run;
	}

	RunKey running(String task) {
		RunKey run = order(task);
		this.supervisor.startAnswered(run, StartAnswer.STARTED, this.nowMillis);
		return run;
	}

	void observe(long born, List<PresentRun> present, List<EndedRun> ended) {
		this.supervisor.pollAnswered(new RunInventory(this.nowMillis, born, present, ended), this.nowMillis);
	}

	void pass(long millis) {
		this.nowMillis += millis;
		this.supervisor.tick(this.nowMillis);
	}

	static EndpointCheckpoint memo(double speed) {
		return new EndpointCheckpoint(
				new EndpointReport("endpoint-1", 5, 0, "service", CORE.times(4), List.of(), false), speed);
	}

	List<RunEnd> ends() {
		return this.sent.stream().filter(RunEnded.class::isInstance).map((m) -> ((RunEnded) m).end()).toList();
	}

	EndpointState state() {
		return this.supervisor.status(0, this.nowMillis).state();
	}

	static final class RecordingDriver implements EndpointDriver {

		final List<RunKey> starts = new ArrayList<>();

		final List<String> stops = new ArrayList<>();

		long lastLease = -1;

		long lastWait = -1;

		long lastFence;

		int probes;

		@Override
		public void attach(EndpointReport report) {
		}

		@Override
		public void start(RunKey run, String payload, long leaseMillis, long fence) {
			this.starts.add(run);
			this.lastFence = fence;
		}

		@Override
		public void stop(String task, long number, long fence) {
			this.stops.add(task + "#" + number);
		}

		@Override
		public void poll(long leaseMillis, long confirmed, long waitMillis, long fence) {
			this.lastLease = leaseMillis;
			this.lastWait = waitMillis;
			this.lastFence = fence;
		}

		@Override
		public void probe(long confirmed, long fence) {
			this.probes++;
		}

	}

}
