package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.fleet.Step;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.RunStop;
import org.baobabspar.message.SupervisorHello;
import org.testng.annotations.BeforeMethod;

/**
 * A {@link Dispatcher} with a simulated clock and an outbox that records its messages.
 * The test sends the messages of the agents. Used on one thread.
 */
abstract class DispatcherFixture {

	static final Resources CORE = new Resources(1_000, 64, 0);

	static final Route ROUTE = new Route("route", "host", "/p/", "service", 0, 2, 1.6, 60, "");

	long nowMillis;

	Map<String, List<Message>> sentMessages;

	Map<String, Long> endSequences;

	List<JobReply> replies;

	List<String> logLines;

	Dispatcher dispatcher;

	@BeforeMethod
	void createDispatcher() {
		this.nowMillis = 50_000;
		this.sentMessages = new TreeMap<>();
		this.endSequences = new TreeMap<>();
		this.replies = new ArrayList<>();
		this.logLines = new ArrayList<>();
		this.dispatcher = new Dispatcher("domain-1", new DispatchOutbox() {

			@Override
			public void send(String link, Message message) {
				DispatcherFixture.this.sentMessages.computeIfAbsent(link, (l) -> new ArrayList<>()).add(message);
			}

			@Override
			public void close(String link) {
			}

			@Override
			public void log(String line) {
				DispatcherFixture.this.logLines.add(line);
			}

			@Override
			public void recordJobEnd(String route, JobReply reply, long ageMillis) {
			}

		});
	}

	static EndpointStatus status(String name, int freeCores, double speed, long lastStartSequence) {
		return new EndpointStatus("endpoint-" + name, "service", EndpointState.READY, CORE.times(8),
				CORE.times(freeCores), List.of(), speed, lastStartSequence);
	}

	void linkAgent(String name, int freeCores, double speed) {
		sendHello(name, status(name, freeCores, speed, 0), List.of());
		this.dispatcher.handleLeaseRequest(name,
				new LeaseRequest(this.nowMillis, status(name, freeCores, speed, 0), this.nowMillis), this.nowMillis);
	}

	/**
	 * Reports the free room of an agent after a start, and places waiting jobs.
	 * @param name the agent
	 * @param freeCores the free cores
	 * @param lastStartSequence sequence number of the last start that the agent has seen
	 */
	void reportRoom(String name, int freeCores, long lastStartSequence) {
		this.dispatcher.handleLeaseRequest(name,
				new LeaseRequest(this.nowMillis, status(name, freeCores, 1, lastStartSequence), this.nowMillis),
				this.nowMillis);
		this.dispatcher.place(this.nowMillis);
	}

	void sendHello(String name, EndpointStatus status, List<RunKey> runs) {
		long number = this.dispatcher.registerLink(name);
		this.dispatcher.handleHello(name, new SupervisorHello(name, 1, "domain-1", status, runs, number),
				this.nowMillis);
	}

	static JobSubmission createJob(String id, int tasks, long estimateMillis) {
		return new JobSubmission(id, "payload", List.of(new Step(tasks, CORE, estimateMillis, List.of(), "", "", 0)));
	}

	Consumer<JobReply> submit(JobSubmission order) {
		Consumer<JobReply> caller = this.replies::add;
		this.dispatcher.submit(order, ROUTE, 10_000, caller, this.nowMillis);
		this.dispatcher.place(this.nowMillis);
		return caller;
	}

	List<RunKey> startedRuns(String agent) {
		return this.sentMessages.getOrDefault(agent, List.of())
			.stream()
			.filter(RunStart.class::isInstance)
			.map((m) -> ((RunStart) m).run())
			.toList();
	}

	long stopCount(String agent) {
		return this.sentMessages.getOrDefault(agent, List.of()).stream().filter(RunStop.class::isInstance).count();
	}

	void endRun(String agent, RunKey run, RunEnd end) {
		long sequence = this.endSequences.merge(agent, 1L, Long::sum);
		this.dispatcher.handleRunEnded(agent, new RunEnded(sequence, run, end, 100), this.nowMillis);
		this.dispatcher.place(this.nowMillis);
	}

	List<JobOutcome> outcomes() {
		return this.replies.stream().map(JobReply::outcome).toList();
	}

}
