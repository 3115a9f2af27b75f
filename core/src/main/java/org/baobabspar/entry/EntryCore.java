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
 * The decision logic of an entry. Processes one event at a time, delegates it to the
 * responsible controller, and ends each event with a pass over the queue if a change
 * requires one.
 * <p>
 * A gap between two ticks shows that the process was paused. Requests that were buffered
 * during the pause may be older than they declare, so submissions are refused for a while
 * after a pause, as they are after the start.
 * <p>
 * Not thread-safe: every method runs on the control thread. Time is passed in by the
 * caller and is monotonic.
 */
public final class EntryCore {

	private final Blackboard blackboard;

	private final MembershipController membership;

	private final PeerController peers;

	private final PlacementController placement;

	private final JobController jobs;

	private final ClaimController claims;

	private final JobQueryController jobQueries;

	private final DocumentController documents;

	private long lastTickMillis;

	/**
	 * Creates an entry.
	 * @param now monotonic milliseconds
	 * @param self the identity that the entry announces
	 * @param settings the settings
	 * @param out the receiver of all effects
	 * @param seed the seed for the ranks of claims and the randomized policies
	 */
	public EntryCore(long now, EntryInfo self, EntrySettings settings, EntryOutbox out, long seed) {
		this.blackboard = new Blackboard(self, settings, out, now, seed);
		this.membership = new MembershipController(this.blackboard);
		this.peers = new PeerController(this.blackboard, this.membership);
		this.placement = new PlacementController(this.blackboard, this.membership);
		this.jobs = new JobController(this.blackboard, this.placement, this.peers);
		AdmissionController admission = new AdmissionController(this.blackboard, this.membership);
		this.claims = new ClaimController(this.blackboard, admission, this.jobs, this.placement, this.membership,
				this.peers);
		this.jobQueries = new JobQueryController(this.blackboard, this.jobs);
		this.documents = new DocumentController(this.blackboard);
		this.lastTickMillis = now;
	}

	/**
	 * Handles a submission.
	 * @param now monotonic milliseconds
	 * @param requestId the request of the caller, which is answered once
	 * @param spec the submission
	 */
	public void submit(long now, long requestId, JobSpec spec) {
		beginEvent(now);
		this.claims.submit(requestId, spec);
		this.placement.placeWaitingTasks();
	}

	/**
	 * Registers a caller for the answer to a job without submitting the job.
	 * @param now monotonic milliseconds
	 * @param requestId the caller's request
	 * @param jobId the job
	 * @return {@code false} if this entry does not know the job
	 */
	public boolean await(long now, long requestId, String jobId) {
		beginEvent(now);
		JobRecord job = this.blackboard.jobs().get(jobId);
		if (job == null) {
			return false;
		}
		if (job.state() == JobState.ENDED) {
			this.blackboard.outbox().answer(requestId, job.answer());
		}
		else {
			job.addRequest(new PendingRequest(requestId, 0));
		}
		return true;
	}

	/**
	 * Removes a caller that no longer waits.
	 * @param jobId the job
	 * @param requestId the caller's request
	 */
	public void removeRequest(String jobId, long requestId) {
		JobRecord job = this.blackboard.jobs().get(jobId);
		if (job != null) {
			job.pendingRequests().removeIf((w) -> w.requestId() == requestId);
		}
	}

	/**
	 * Handles a cancellation.
	 * @param now monotonic milliseconds
	 * @param requestId the request of the caller, which is answered when the job has
	 * ended
	 * @param jobId the job
	 */
	public void cancel(long now, long requestId, String jobId) {
		beginEvent(now);
		this.claims.cancel(requestId, jobId);
		this.placement.placeWaitingTasks();
	}

	/**
	 * Adds the address of a peer from the settings.
	 * @param now monotonic milliseconds
	 * @param address the address as {@code host:port}
	 */
	public void learnPeer(long now, String address) {
		beginEvent(now);
		this.peers.addPeer(address);
	}

	/**
	 * Handles the opening of a link that this entry dialled.
	 * @param now monotonic milliseconds
	 * @param address the dialled address
	 */
	public void peerUp(long now, String address) {
		beginEvent(now);
		this.peers.handleLinkUp(address);
		this.documents.sendAll(address);
	}

	/**
	 * Handles the loss of a link that this entry dialled, or the failure to open it.
	 * @param now monotonic milliseconds
	 * @param address the dialled address
	 * @param refused whether the host refused the connection, which proves that no
	 * process is listening at the address
	 */
	public void peerDown(long now, String address, boolean refused) {
		beginEvent(now);
		this.peers.handleLinkDown(address, refused);
	}

	/**
	 * Handles the loss of an incoming link.
	 * @param now monotonic milliseconds
	 * @param link the link
	 */
	public void linkDown(long now, String link) {
		beginEvent(now);
		AgentRecord agent = this.blackboard.agentsByLink().get(link);
		if (agent != null) {
			this.membership.handleLinkDown(agent);
		}
		this.peers.handleIncomingLinkDown(link);
		this.placement.placeWaitingTasks();
	}

	/**
	 * Handles a message.
	 * @param now monotonic milliseconds
	 * @param link the link on which it arrived: the dialled address, or the name of an
	 * incoming link
	 * @param message the message
	 */
	public void message(long now, String link, Message message) {
		beginEvent(now);
		AgentRecord agent = this.blackboard.agentsByLink().get(link);
		if (agent != null) {
			handleAgentMessage(agent, message);
		}
		else if (message instanceof AgentHello hello) {
			AgentRecord newAgent = this.membership.handleHello(link, hello);
			this.documents.sendProduction(link);
			this.jobs.reconcilePlacements(newAgent);
			this.placement.requestPass();
		}
		else {
			handlePeerMessage(link, message);
		}
		this.placement.placeWaitingTasks();
	}

	private void handleAgentMessage(AgentRecord agent, Message message) {
		if (message instanceof TaskEnded ended) {
			this.membership.recordContact(agent, ended.stampMillis(), ended.limit(), ended.failuresInRow());
			this.jobs.handleTaskEnded(agent, ended);
		}
		else if (message instanceof AgentHeartbeat heartbeat) {
			this.membership.handleHeartbeat(agent, heartbeat);
			this.placement.requestPass();
		}
		else if (message instanceof TaskRefused refused) {
			this.membership.recordContact(agent, refused.stampMillis(), refused.limit(), agent.failuresInRow());
			this.jobs.handleTaskRefused(agent, refused);
		}
		else if (message instanceof FenceReply reply) {
			handleFenceReply(reply);
		}
		else if (message instanceof JobSuperseded superseded) {
			handleSuperseded(superseded);
		}
		else if (message instanceof AgentGoodbye) {
			this.membership.handleGoodbye(agent);
		}
		else if (message instanceof EntryNotice notice) {
			this.peers.addPeers(notice.entries());
		}
		else if (message instanceof DocumentNotice notice) {
			this.documents.handleNotice(notice);
		}
	}

	private void handleFenceReply(FenceReply reply) {
		PendingFence fence = this.blackboard.pendingFences().remove(reply.fenceId());
		if (fence == null) {
			return;
		}
		if (fence.purpose() == PendingFence.Purpose.CLAIM) {
			this.claims.handleFenceReply(fence, reply);
		}
		else {
			this.jobs.handleFenceReply(fence, reply);
		}
	}

	private void handleSuperseded(JobSuperseded superseded) {
		JobRecord job = this.blackboard.jobs().get(superseded.jobId());
		if (job != null && job.state().holdsTasks() && job.claim().compareTo(superseded.claim()) < 0) {
			this.jobs.failSuperseded(job);
		}
	}

	private void handlePeerMessage(String link, Message message) {
		if (message instanceof PeerHello hello) {
			this.peers.handleHello(link, hello);
		}
		else if (message instanceof PeerWelcome welcome) {
			this.peers.handleWelcome(link, welcome);
		}
		else if (message instanceof PeerHeartbeat heartbeat) {
			this.peers.handleHeartbeat(link, heartbeat);
		}
		else if (message instanceof PeerEcho echo) {
			this.peers.handleEcho(link, echo);
		}
		else if (message instanceof AgentNotices notices) {
			this.peers.handleAgentNotices(link, notices);
		}
		else if (message instanceof NoticesAck ack) {
			this.peers.handleNoticesAck(link, ack);
			this.placement.requestPass();
		}
		else if (message instanceof JobAsk query) {
			Optional.ofNullable(this.blackboard.entriesByLink().get(link))
				.ifPresent((from) -> this.jobQueries.answer(link, from, query));
		}
		else if (message instanceof JobAskReply reply) {
			this.claims.handleQueryReply(link, reply);
		}
		else if (message instanceof JobEnded ended) {
			this.claims.handleJobEnded(ended);
		}
		else if (message instanceof JobCancel cancel) {
			this.claims.cancelHeldJob(cancel.jobId());
		}
		else if (message instanceof DocumentNotice notice) {
			this.documents.handleNotice(notice);
		}
		else if (message instanceof PeerGoodbye goodbye) {
			this.peers.handleGoodbye(goodbye.entryRef());
		}
	}

	/**
	 * Handles a promoted document from the log.
	 * @param now monotonic milliseconds
	 * @param version the version
	 */
	public void promoted(long now, DocumentVersion version) {
		beginEvent(now);
		this.documents.acceptPromoted(version);
	}

	/**
	 * Handles a published document from the log.
	 * @param now monotonic milliseconds
	 * @param version the version
	 */
	public void published(long now, DocumentVersion version) {
		beginEvent(now);
		this.documents.acceptTrial(version);
	}

	/**
	 * Performs the periodic work: heartbeats, time-outs and expiry.
	 * @param now monotonic milliseconds
	 */
	public void tick(long now) {
		beginEvent(now);
		this.lastTickMillis = now;
		this.peers.tick();
		this.membership.tick();
		this.claims.tick();
		this.jobs.tick();
		this.placement.requestPass();
		this.placement.placeWaitingTasks();
	}

	private void beginEvent(long now) {
		if (now - this.lastTickMillis > this.blackboard.settings().pauseThresholdMillis()) {
			this.blackboard.advanceClock(now);
			this.blackboard.startQuarantine();
			this.blackboard.liveJobs().values().forEach(JobRecord::markUnseenAttemptsPossible);
			this.lastTickMillis = now;
		}
		this.blackboard.advanceClock(now);
		this.peers.markContestedJobs();
	}

	/**
	 * Starts draining: new jobs are refused from now on.
	 * @param now monotonic milliseconds
	 */
	public void drain(long now) {
		beginEvent(now);
		this.blackboard.startDraining();
	}

	/**
	 * Returns whether a draining entry has no live jobs left, and if so sends a goodbye
	 * to all peers.
	 * @param now monotonic milliseconds
	 * @return {@code true} if the process may exit
	 */
	public boolean drained(long now) {
		beginEvent(now);
		if (!this.blackboard.draining() || !this.blackboard.liveJobs().isEmpty()) {
			return false;
		}
		PeerGoodbye goodbye = new PeerGoodbye(this.blackboard.self().ref());
		this.blackboard.peers()
			.values()
			.stream()
			.filter(PeerRecord::linked)
			.forEach((p) -> this.blackboard.send(p.address(), goodbye));
		return true;
	}

	/**
	 * Returns whether the load balancer may send submissions to this entry.
	 * @return {@code true} if all peers are known, a document is in force and the entry
	 * is not draining
	 */
	public boolean ready() {
		return !this.blackboard.draining() && !this.blackboard.quarantined() && this.peers.isSynchronized()
				&& this.blackboard.production().isPresent();
	}

	public Optional<DocumentVersion> production() {
		return this.blackboard.production();
	}

	public Optional<DocumentVersion> trial() {
		return this.blackboard.trial();
	}

	public UsageCounters usage() {
		return this.blackboard.usage();
	}

	public int waitingTasks() {
		return this.blackboard.queue().waitingTasks();
	}

	public int liveJobs() {
		return this.blackboard.liveJobs().size();
	}

	public int heldJobs() {
		return this.blackboard.jobs().size();
	}

	public int claimPromises() {
		return this.blackboard.claimPromises().size();
	}

	/**
	 * Returns the status of the agents that have been linked to this entry.
	 * @return one status for each agent
	 */
	public List<AgentStatus> agents() {
		return this.blackboard.agents().values().stream().filter(AgentRecord::everLinked).map(this::status).toList();
	}

	private AgentStatus status(AgentRecord agent) {
		return new AgentStatus(agent.info().agentId(), agent.info().failureDomain(),
				agent.linked() ? agent.state().name() : "LOST", this.membership.isUsable(agent), agent.info().slots(),
				agent.limit(), agent.inFlight(), agent.failuresInRow(),
				Math.round(agent.slowdown() * this.blackboard.serviceTimes().meanMillis()));
	}

	/**
	 * Describes the peers.
	 * @return the address of each peer and whether it is gone, answers or is silent
	 */
	public Collection<String> peers() {
		return this.blackboard.peers()
			.values()
			.stream()
			.map((p) -> p.address() + (p.terminated() ? " gone" : this.peers.isResponsive(p) ? " answers" : " silent"))
			.toList();
	}

}
