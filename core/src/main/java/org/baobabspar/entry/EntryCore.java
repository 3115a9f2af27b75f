package org.baobabspar.entry;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.baobabspar.document.DocumentVersion;
import org.baobabspar.message.AgentGoodbye;
import org.baobabspar.message.AgentHeartbeat;
import org.baobabspar.message.AgentHello;
import org.baobabspar.message.AgentNotices;
import org.baobabspar.message.DocumentNotice;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.EntryNotice;
import org.baobabspar.message.FenceReply;
import org.baobabspar.message.JobAsk;
import org.baobabspar.message.JobAskReply;
import org.baobabspar.message.JobCancel;
import org.baobabspar.message.JobEnded;
import org.baobabspar.message.JobSuperseded;
import org.baobabspar.message.Message;
import org.baobabspar.message.NoticesAck;
import org.baobabspar.message.PeerEcho;
import org.baobabspar.message.PeerGoodbye;
import org.baobabspar.message.PeerHeartbeat;
import org.baobabspar.message.PeerHello;
import org.baobabspar.message.PeerWelcome;
import org.baobabspar.message.TaskEnded;
import org.baobabspar.message.TaskRefused;
import org.baobabspar.model.JobSpec;
import org.baobabspar.usage.UsageCounters;

/**
 * Decisions of an entry. Takes one event at a time, hands it to the controller in charge,
 * and ends each event with a pass over the queue if anything changed that matters to it.
 * <p>
 * A gap between two ticks shows that the process was paused. Requests that waited in its
 * buffers meanwhile may be older than they say, so for a while after a pause, as after
 * the start, no submission is taken.
 * <p>
 * Every method runs on the control thread; time comes from the caller and is monotonic.
 */
public final class EntryCore {

	private final Blackboard board;

	private final MembershipController membership;

	private final PeerController peers;

	private final PlacementController placement;

	private final JobController jobs;

	private final ClaimController claims;

	private final AskController asks;

	private final DocumentController documents;

	private long lastTickMillis;

	/**
	 * Create an entry.
	 * @param now monotonic milliseconds
	 * @param self what it announces
	 * @param settings its bounds
	 * @param out where its effects go
	 * @param seed for the ranks of claims and the random policies
	 */
	public EntryCore(long now, EntryInfo self, EntrySettings settings, EntryOutbox out, long seed) {
		this.board = new Blackboard(self, settings, out, now, seed);
		this.membership = new MembershipController(this.board);
		this.peers = new PeerController(this.board, this.membership);
		this.placement = new PlacementController(this.board, this.membership);
		this.jobs = new JobController(this.board, this.placement, this.peers);
		AdmissionController admission = new AdmissionController(this.board, this.membership);
		this.claims = new ClaimController(this.board, admission, this.jobs, this.placement, this.membership,
				this.peers);
		this.asks = new AskController(this.board, this.jobs);
		this.documents = new DocumentController(this.board);
		this.lastTickMillis = now;
	}

	/**
	 * Take a submission.
	 * @param now monotonic milliseconds
	 * @param requestId the caller's request, to be answered once
	 * @param spec the submission
	 */
	public void submit(long now, long requestId, JobSpec spec) {
		begin(now);
		this.claims.submit(requestId, spec);
		this.placement.run();
	}

	/**
	 * Wait for the answer to a job without submitting it.
	 * @param now monotonic milliseconds
	 * @param requestId the caller's request
	 * @param jobId the job
	 * @return {@code false} if this entry does not know the job
	 */
	public boolean await(long now, long requestId, String jobId) {
		begin(now);
		JobRecord j = this.board.jobs().get(jobId);
		if (j == null) {
			return false;
		}
		if (j.state() == JobState.ENDED) {
			this.board.out().answer(requestId, j.answer());
		}
		else {
			j.addWaiter(new Waiter(requestId, 0));
		}
		return true;
	}

	/**
	 * Drop a caller that no longer waits.
	 * @param jobId the job
	 * @param requestId the caller's request
	 */
	public void removeRequest(String jobId, long requestId) {
		JobRecord j = this.board.jobs().get(jobId);
		if (j != null) {
			j.waiters().removeIf((w) -> w.requestId() == requestId);
		}
	}

	/**
	 * Take a cancellation.
	 * @param now monotonic milliseconds
	 * @param requestId the caller's request, answered when the job has ended
	 * @param jobId the job
	 */
	public void cancel(long now, long requestId, String jobId) {
		begin(now);
		this.claims.cancel(requestId, jobId);
		this.placement.run();
	}

	/**
	 * Learn of an entry's address from settings.
	 * @param now monotonic milliseconds
	 * @param address the address as {@code host:port}
	 */
	public void learnPeer(long now, String address) {
		begin(now);
		this.peers.learn(address);
	}

	/**
	 * Note that a dialled link is open.
	 * @param now monotonic milliseconds
	 * @param address the dialled address
	 */
	public void peerUp(long now, String address) {
		begin(now);
		this.peers.linkUp(address);
		this.documents.greetPeer(address);
	}

	/**
	 * Note that a dialled link is closed or could not be opened.
	 * @param now monotonic milliseconds
	 * @param address the dialled address
	 * @param refused whether the host refused the connection, which proves that no
	 * process listens there
	 */
	public void peerDown(long now, String address, boolean refused) {
		begin(now);
		this.peers.linkDown(address, refused);
	}

	/**
	 * Note that an incoming link is closed.
	 * @param now monotonic milliseconds
	 * @param link the link
	 */
	public void linkDown(long now, String link) {
		begin(now);
		AgentRecord a = this.board.agentsByLink().get(link);
		if (a != null) {
			this.membership.linkDown(a);
		}
		this.peers.incomingDown(link);
		this.placement.run();
	}

	/**
	 * Take a message.
	 * @param now monotonic milliseconds
	 * @param link the link it came on: the dialled address, or the name of an incoming
	 * link
	 * @param m the message
	 */
	public void message(long now, String link, Message m) {
		begin(now);
		AgentRecord a = this.board.agentsByLink().get(link);
		if (a != null) {
			fromAgent(a, m);
		}
		else if (m instanceof AgentHello h) {
			AgentRecord greeted = this.membership.hello(link, h);
			this.documents.greet(link);
			this.jobs.recover(greeted);
			this.placement.wake();
		}
		else {
			fromPeer(link, m);
		}
		this.placement.run();
	}

	private void fromAgent(AgentRecord a, Message m) {
		if (m instanceof TaskEnded t) {
			this.membership.heard(a, t.stampMillis(), t.limit(), t.failuresInRow());
			this.jobs.taskEnded(a, t);
		}
		else if (m instanceof AgentHeartbeat h) {
			this.membership.heartbeat(a, h);
			this.placement.wake();
		}
		else if (m instanceof TaskRefused r) {
			this.membership.heard(a, r.stampMillis(), r.limit(), a.failuresInRow());
			this.jobs.refused(a, r);
		}
		else if (m instanceof FenceReply r) {
			fenceReply(r);
		}
		else if (m instanceof JobSuperseded s) {
			superseded(s);
		}
		else if (m instanceof AgentGoodbye) {
			this.membership.goodbye(a);
		}
		else if (m instanceof EntryNotice n) {
			this.peers.learn(n.entries());
		}
		else if (m instanceof DocumentNotice d) {
			this.documents.notice(d);
		}
	}

	private void fenceReply(FenceReply r) {
		PendingFence f = this.board.pendingFences().remove(r.fenceId());
		if (f == null) {
			return;
		}
		if (f.purpose() == PendingFence.Purpose.CLAIM) {
			this.claims.fenceReply(f, r);
		}
		else {
			this.jobs.fenceReply(f, r);
		}
	}

	private void superseded(JobSuperseded s) {
		JobRecord j = this.board.jobs().get(s.jobId());
		if (j != null && j.state().holdsTasks() && j.claim().compareTo(s.claim()) < 0) {
			this.jobs.superseded(j);
		}
	}

	private void fromPeer(String link, Message m) {
		if (m instanceof PeerHello h) {
			this.peers.hello(link, h);
		}
		else if (m instanceof PeerWelcome w) {
			this.peers.welcome(link, w);
		}
		else if (m instanceof PeerHeartbeat h) {
			this.peers.heartbeat(link, h);
		}
		else if (m instanceof PeerEcho e) {
			this.peers.echo(link, e);
		}
		else if (m instanceof AgentNotices n) {
			this.peers.notices(link, n);
		}
		else if (m instanceof NoticesAck a) {
			this.peers.acknowledged(link, a);
			this.placement.wake();
		}
		else if (m instanceof JobAsk a) {
			Optional.ofNullable(this.board.peerLinks().get(link)).ifPresent((from) -> this.asks.answer(link, from, a));
		}
		else if (m instanceof JobAskReply r) {
			this.claims.askReply(link, r);
		}
		else if (m instanceof JobEnded e) {
			this.claims.ended(e);
		}
		else if (m instanceof JobCancel c) {
			this.claims.cancel(c.jobId());
		}
		else if (m instanceof DocumentNotice d) {
			this.documents.notice(d);
		}
		else if (m instanceof PeerGoodbye g) {
			this.peers.goodbye(g.entryRef());
		}
	}

	/**
	 * Take a promoted document from the log.
	 * @param now monotonic milliseconds
	 * @param v the version
	 */
	public void promoted(long now, DocumentVersion v) {
		begin(now);
		this.documents.promoted(v);
	}

	/**
	 * Take a published document from the log.
	 * @param now monotonic milliseconds
	 * @param v the version
	 */
	public void published(long now, DocumentVersion v) {
		begin(now);
		this.documents.trial(v);
	}

	/**
	 * Do what is due: heartbeats, time-outs, expiry.
	 * @param now monotonic milliseconds
	 */
	public void tick(long now) {
		begin(now);
		this.lastTickMillis = now;
		this.peers.tick();
		this.membership.tick();
		this.claims.tick();
		this.jobs.tick();
		this.placement.wake();
		this.placement.run();
	}

	private void begin(long now) {
		if (now - this.lastTickMillis > this.board.settings().pauseThresholdMillis()) {
			this.board.advance(now);
			this.board.quarantine();
			this.board.liveJobs().values().forEach(JobRecord::unprove);
			this.lastTickMillis = now;
		}
		this.board.advance(now);
		this.peers.contestJobs();
	}

	/**
	 * Start to leave: take no new jobs.
	 * @param now monotonic milliseconds
	 */
	public void drain(long now) {
		begin(now);
		this.board.drain();
	}

	/**
	 * Tell whether a draining entry holds no job any more, and if so say goodbye to all
	 * peers.
	 * @param now monotonic milliseconds
	 * @return {@code true} if the process may exit
	 */
	public boolean drained(long now) {
		begin(now);
		if (!this.board.draining() || !this.board.liveJobs().isEmpty()) {
			return false;
		}
		PeerGoodbye g = new PeerGoodbye(this.board.self().ref());
		this.board.peers().values().stream().filter(PeerRecord::linked).forEach((p) -> this.board.send(p.address(), g));
		return true;
	}

	/**
	 * Tell whether the balancer may send submissions here.
	 * @return {@code true} once peers are known, a document is in force, and until
	 * draining
	 */
	public boolean ready() {
		return !this.board.draining() && !this.board.quarantined() && this.peers.synchronised()
				&& this.board.production().isPresent();
	}

	public Optional<DocumentVersion> production() {
		return this.board.production();
	}

	public Optional<DocumentVersion> trial() {
		return this.board.trial();
	}

	public UsageCounters usage() {
		return this.board.usage();
	}

	public int waitingTasks() {
		return this.board.queue().tasks();
	}

	public int liveJobs() {
		return this.board.liveJobs().size();
	}

	public int heldJobs() {
		return this.board.jobs().size();
	}

	public int fencedKeys() {
		return this.board.fencedKeys().size();
	}

	/**
	 * Describe the agents.
	 * @return one line for each agent
	 */
	public List<AgentStatus> agents() {
		return this.board.agents().values().stream().filter(AgentRecord::own).map(this::status).toList();
	}

	private AgentStatus status(AgentRecord a) {
		return new AgentStatus(a.info().agentId(), a.info().failureDomain(), a.linked() ? a.state().name() : "LOST",
				this.membership.usable(a), a.info().slots(), a.limit(), a.inFlight(), a.failuresInRow(),
				Math.round(a.slowness() * this.board.model().meanMillis()));
	}

	/**
	 * Describe the other entries.
	 * @return the reference of each peer and whether it answers
	 */
	public Collection<String> peers() {
		return this.board.peers()
			.values()
			.stream()
			.map((p) -> p.address() + (p.gone() ? " gone" : this.peers.answers(p) ? " answers" : " silent"))
			.toList();
	}

}
