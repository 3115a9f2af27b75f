package org.baobabspar.agent;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.baobabspar.message.AgentGoodbye;
import org.baobabspar.message.AgentHeartbeat;
import org.baobabspar.message.AgentHello;
import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.AgentState;
import org.baobabspar.message.Dispatch;
import org.baobabspar.message.DocumentNotice;
import org.baobabspar.message.DrainAck;
import org.baobabspar.message.EntryHeartbeat;
import org.baobabspar.message.EntryHello;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.EntryNotice;
import org.baobabspar.message.Fence;
import org.baobabspar.message.FenceReply;
import org.baobabspar.message.GoodbyeAck;
import org.baobabspar.message.JobSuperseded;
import org.baobabspar.message.Message;
import org.baobabspar.message.TaskEnded;
import org.baobabspar.message.TaskRefused;
import org.baobabspar.misc.Hashes;
import org.baobabspar.model.Claim;
import org.baobabspar.model.ResultCode;
import org.baobabspar.usage.UsageRecord;

/**
 * Decides which tasks an agent starts at its endpoint. The agent is the start gate: it
 * starts a task only if the start ledger shows that the task has been neither started nor
 * fenced, and if the dispatch is younger than its lease by the agent's own clock. Entries
 * need no consensus among themselves, because each agent serializes fences and starts: a
 * start is either reported in the reply to a fence or prevented by that fence.
 * <p>
 * Example: entry A dispatches task 0 under claim (1, 5, 0) and then stalls. The caller
 * resubmits the job through entry B, which fences with (2, 9, 0). If the dispatch arrived
 * first, the fence reply names task 0, and B waits for its result, which the agent now
 * sends to B. If the fence arrived first, the agent refuses the dispatch, and B starts
 * the task itself.
 * <p>
 * Invariant: each (job, index) is handed to the endpoint at most once within the
 * resubmission window. Not thread-safe: all methods must be called on the control thread.
 * Time is passed in by the caller and must be monotonic.
 */
public final class AgentCore {

	private static final long USAGE_REPORT_INTERVAL_MILLIS = 2_000;

	private final AgentInfo info;

	private final AgentSettings settings;

	private final AgentOutbox out;

	private final StartLedger ledger;

	private final UsageMeter meter;

	private final Map<String, EntryLink> links = new LinkedHashMap<>();

	private final Map<String, EntryInfo> knownEntries = new LinkedHashMap<>();

	private final SlotTable slots;

	private DocumentNotice document;

	private AgentState state = AgentState.SERVING;

	private int consecutiveFailures;

	private long lastUsageReportMillis;

	private long wallClockMillis;

	private boolean goodbyeSent;

	/**
	 * Creates an agent.
	 * @param info the identity and capacity announced to entries
	 * @param settings the limits of the agent
	 * @param out carries out the effects of decisions
	 */
	public AgentCore(AgentInfo info, AgentSettings settings, AgentOutbox out) {
		this.info = info;
		this.settings = settings;
		this.out = out;
		this.ledger = new StartLedger(settings);
		this.slots = new SlotTable(settings.slots(), settings.prefetch());
		this.meter = new UsageMeter(info.ref());
	}

	/**
	 * Registers a new link to an entry and sends the agent's hello on it.
	 * @param now monotonic milliseconds
	 * @param linkName the name of the link
	 */
	public void linkUp(long now, String linkName) {
		EntryLink link = new EntryLink(linkName, now);
		this.links.put(linkName, link);
		link.recordSent(now, 0);
		this.out.send(linkName, new AgentHello(this.info, this.state, now, taskLimit(now, link)));
	}

	/**
	 * Removes a link.
	 * @param now monotonic milliseconds
	 * @param linkName the name of the link
	 */
	public void linkDown(long now, String linkName) {
		this.links.remove(linkName);
	}

	/**
	 * Handles a message from an entry.
	 * @param now monotonic milliseconds
	 * @param linkName the name of the link on which it arrived
	 * @param message the message
	 */
	public void receive(long now, String linkName, Message message) {
		EntryLink link = this.links.get(linkName);
		if (link == null) {
			return;
		}
		link.recordReceived(now);
		if (message instanceof Dispatch dispatch) {
			link.backlog(dispatch.backlog());
			handleDispatch(now, link, dispatch);
		}
		else if (message instanceof Fence fence) {
			handleFence(link, now, fence);
		}
		else if (message instanceof EntryHeartbeat heartbeat) {
			link.backlog(heartbeat.backlog());
			rememberEntries(heartbeat.peers());
		}
		else if (message instanceof EntryHello hello) {
			link.identify(hello.entry());
			rememberEntries(List.of(hello.entry()));
			rememberEntries(hello.peers());
			exchangeEntryNotices(link);
			sendDocument(link);
		}
		else if (message instanceof DocumentNotice notice) {
			adoptDocument(notice);
		}
		else if (message instanceof DrainAck) {
			link.acknowledgeDrain();
		}
		else if (message instanceof GoodbyeAck) {
			link.acknowledgeGoodbye();
		}
	}

	private void rememberEntries(Collection<EntryInfo> entries) {
		for (EntryInfo e : entries) {
			this.knownEntries.put(e.address(), e);
		}
	}

	// Announces entries that cannot reach each other to one another, so that a
	// resubmission through one of them takes the other into account.
	private void exchangeEntryNotices(EntryLink newLink) {
		List<EntryInfo> others = new ArrayList<>();
		for (EntryLink link : this.links.values()) {
			if (link != newLink && link.entry() != null) {
				others.add(link.entry());
				this.out.send(link.name(), new EntryNotice(List.of(newLink.entry())));
			}
		}
		if (!others.isEmpty()) {
			this.out.send(newLink.name(), new EntryNotice(others));
		}
	}

	private void adoptDocument(DocumentNotice notice) {
		if (notice.trial() || (this.document != null && this.document.promotionOffset() >= notice.promotionOffset())) {
			return;
		}
		this.document = notice;
		this.links.values().forEach(this::sendDocument);
	}

	private void sendDocument(EntryLink link) {
		if (this.document != null) {
			this.out.send(link.name(), this.document);
		}
	}

	private void handleDispatch(long now, EntryLink link, Dispatch dispatch) {
		Optional<LedgerJob> known = this.ledger.find(dispatch.jobId());
		if (known.flatMap((job) -> job.task(dispatch.index()))
			.filter((task) -> resendOutcome(now, link, task, dispatch))
			.isPresent()) {
			return;
		}
		Optional<ResultCode> refusal = refusal(now, known, dispatch);
		LedgerJob job = this.ledger.getOrCreate(now, dispatch.jobId(), dispatch.claim(), link.entryRef(),
				dispatch.bodyHash());
		if (refusal.isPresent()) {
			job.recordRefusal(dispatch.index(), dispatch.dispatchId());
			refuse(now, link, dispatch, refusal.get());
			return;
		}
		if (dispatch.claim().compareTo(job.claim()) > 0) {
			job.raiseClaim(dispatch.claim(), link.entryRef());
		}
		job.setBodyHash(dispatch.bodyHash());
		LedgerTask task = new LedgerTask(dispatch, link.entryRef());
		this.ledger.recordTask(job, task);
		this.slots.enqueue(task);
		startWaitingTasks(now);
	}

	// Answers a repeated dispatch with the outcome, if there is one; a task is never
	// started twice.
	private boolean resendOutcome(long now, EntryLink link, LedgerTask task, Dispatch dispatch) {
		if (task.ended()) {
			sendEnded(now, link, task, dispatch.dispatchId());
		}
		return true;
	}

	private Optional<ResultCode> refusal(long now, Optional<LedgerJob> known, Dispatch dispatch) {
		boolean refusedBefore = known.filter((job) -> job.wasRefused(dispatch.index(), dispatch.dispatchId()))
			.isPresent();
		if (refusedBefore || known.filter((job) -> dispatch.claim().compareTo(job.claim()) < 0).isPresent()) {
			return Optional.of(ResultCode.GATE_FENCED);
		}
		if (now - dispatch.stampMillis() > this.settings.leaseMillis()) {
			return Optional.of(ResultCode.GATE_LEASE_EXPIRED);
		}
		if (!this.state.takesWork()) {
			return Optional.of(ResultCode.GATE_DRAINING);
		}
		if (this.ledger.isFull()) {
			return Optional.of(ResultCode.GATE_LEDGER_FULL);
		}
		if (known.filter((job) -> job.hasStartedTasks() && job.bodyHash() != dispatch.bodyHash()).isPresent()) {
			return Optional.of(ResultCode.KEY_REUSED);
		}
		if (this.slots.remainingCapacity() == 0) {
			return Optional.of(ResultCode.GATE_FULL);
		}
		return Optional.empty();
	}

	private void refuse(long now, EntryLink link, Dispatch dispatch, ResultCode code) {
		int limit = (code == ResultCode.GATE_FULL) ? Math.min(this.slots.tasksOf(link), taskLimit(now, link))
				: taskLimit(now, link);
		link.recordSent(now, limit);
		this.out.send(link.name(),
				new TaskRefused(dispatch.jobId(), dispatch.index(), dispatch.dispatchId(), code.number(), now, limit));
	}

	private void startWaitingTasks(long now) {
		Optional<LedgerTask> next = this.slots.takeSlot();
		while (next.isPresent()) {
			LedgerTask task = next.get();
			this.out.start(task, task.start(now));
			next = this.slots.takeSlot();
		}
	}

	private void handleFence(EntryLink link, long now, Fence fence) {
		LedgerJob job = this.ledger.getOrCreate(now, fence.jobId(), fence.claim(), link.entryRef(), fence.bodyHash());
		boolean bodyDiffers = job.hasStartedTasks() && job.bodyHash() != fence.bodyHash();
		if (bodyDiffers || job.claim().compareTo(fence.claim()) > 0) {
			this.out.send(link.name(), new FenceReply(fence.fenceId(), fence.jobId(), false, bodyDiffers, List.of()));
			return;
		}
		withdrawWaitingTasks(now, job, fence.claim());
		sendSuperseded(job, link.entryRef(), fence.claim());
		job.raiseClaim(fence.claim(), link.entryRef());
		this.out.send(link.name(), new FenceReply(fence.fenceId(), fence.jobId(), true, false, job.startedTasks()));
	}

	private void withdrawWaitingTasks(long now, LedgerJob job, Claim claim) {
		if (job.claim().compareTo(claim) >= 0) {
			return;
		}
		for (LedgerTask task : this.slots.removeWaiting(job.jobId())) {
			this.ledger.withdrawTask(job, task);
			linkOf(task.ownerRef()).ifPresent((link) -> sendRefused(now, link, task, ResultCode.GATE_FENCED));
		}
	}

	private void sendRefused(long now, EntryLink link, LedgerTask task, ResultCode code) {
		int limit = taskLimit(now, link);
		link.recordSent(now, limit);
		this.out.send(link.name(),
				new TaskRefused(task.jobId(), task.index(), task.dispatchId(), code.number(), now, limit));
	}

	private void sendSuperseded(LedgerJob job, String newOwnerRef, Claim claim) {
		if (!job.ownerRef().equals(newOwnerRef)) {
			linkOf(job.ownerRef())
				.ifPresent((link) -> this.out.send(link.name(), new JobSuperseded(job.jobId(), claim)));
		}
	}

	// The holder of the claim needs the result; the entry that dispatched the task needs
	// its credit back.
	private List<EntryLink> recipients(LedgerJob job, LedgerTask task) {
		return Stream.of(job.ownerRef(), task.ownerRef())
			.distinct()
			.map(this::linkOf)
			.flatMap(Optional::stream)
			.toList();
	}

	private Optional<EntryLink> linkOf(String entryRef) {
		return this.links.values().stream().filter((link) -> link.entryRef().equals(entryRef)).findFirst();
	}

	/**
	 * Records that a task ended at the endpoint and reports its outcome to entries.
	 * @param now monotonic milliseconds
	 * @param jobId the job
	 * @param index the index of the task within the job
	 * @param code {@link ResultCode#COMPLETE} or a code of the failed family
	 * @param result the response body of the endpoint
	 */
	public void taskEnded(long now, String jobId, int index, ResultCode code, byte[] result) {
		Optional<LedgerTask> ended = this.slots.freeSlot(jobId, index);
		if (ended.isEmpty()) {
			return;
		}
		LedgerTask task = ended.get();
		boolean success = code == ResultCode.COMPLETE;
		this.consecutiveFailures = success ? 0 : this.consecutiveFailures + 1;
		this.meter.recordEnded(task.usageKey(currentMonth()), task.takeUnmeteredMillis(now), success);
		task.end(now, code.number(), result);
		this.ledger.recordEnd(now, task);
		startWaitingTasks(now);
		this.ledger.find(jobId)
			.ifPresent((job) -> recipients(job, task).forEach((link) -> sendEnded(now, link, task, task.dispatchId())));
		notifyStarvedEntries(now);
	}

	/**
	 * Withdraws a task that was never sent to the endpoint because no connection could be
	 * opened. The task may be placed elsewhere, and the endpoint counts as unhealthy.
	 * @param now monotonic milliseconds
	 * @param jobId the job
	 * @param index the index of the task within the job
	 */
	public void taskNotSent(long now, String jobId, int index) {
		Optional<LedgerTask> task = this.slots.freeSlot(jobId, index);
		Optional<LedgerJob> job = this.ledger.find(jobId);
		if (task.isEmpty() || job.isEmpty()) {
			return;
		}
		this.ledger.withdrawTask(job.get(), task.get());
		updateHealth(now, false);
		recipients(job.get(), task.get())
			.forEach((link) -> sendRefused(now, link, task.get(), ResultCode.GATE_ENDPOINT_DOWN));
	}

	private void sendEnded(long now, EntryLink link, LedgerTask task, long dispatchId) {
		int limit = taskLimit(now, link);
		link.recordSent(now, limit);
		this.out.send(link.name(),
				new TaskEnded(task.jobId(), dispatchId, task.outcome(), now, limit, this.consecutiveFailures));
	}

	// Sends a heartbeat with the new limit to entries that have waiting tasks but were
	// last
	// told a limit of zero.
	private void notifyStarvedEntries(long now) {
		if (!this.slots.hasFreeSlot()) {
			return;
		}
		for (EntryLink link : this.links.values()) {
			if (link.limit() == 0 && link.backlog() > 0 && this.state.takesWork()) {
				sendHeartbeat(now, link, List.of());
			}
		}
	}

	private int taskLimit(long now, EntryLink link) {
		if (!this.state.takesWork()) {
			return 0;
		}
		List<EntryLink> active = new ArrayList<>();
		for (EntryLink a : this.links.values()) {
			if (a == link || a.activeWithin(now, this.settings.entrySilentMillis())) {
				active.add(a);
			}
		}
		return this.slots.taskLimit(link, active);
	}

	/**
	 * Performs periodic work: heartbeats, usage reports and expiry of the start ledger.
	 * @param now monotonic milliseconds
	 * @param wallClockMillis milliseconds since the epoch, which select the month to
	 * which usage is attributed
	 */
	public void tick(long now, long wallClockMillis) {
		this.wallClockMillis = wallClockMillis;
		this.ledger.expire(now);
		for (LedgerTask task : this.slots.runningTasks()) {
			this.meter.recordRunning(task.usageKey(currentMonth()), task.takeUnmeteredMillis(now));
		}
		List<EntryLink> reporters = usageReporters();
		for (EntryLink link : this.links.values()) {
			boolean reports = reporters.contains(link)
					&& now - link.usageSentMillis() >= USAGE_REPORT_INTERVAL_MILLIS * reporters.size()
					&& now - this.lastUsageReportMillis >= USAGE_REPORT_INTERVAL_MILLIS;
			List<UsageRecord> usage = reports ? this.meter.changedSince(link.usageSequence()) : List.of();
			if (!usage.isEmpty() || now - link.lastSentMillis() >= this.settings.heartbeatMillis()) {
				this.lastUsageReportMillis = usage.isEmpty() ? this.lastUsageReportMillis : now;
				sendHeartbeat(now, link, usage);
			}
		}
		sendGoodbyeOnceIdle(now);
	}

	// Chooses the two entries that receive this agent's usage reports. Rendezvous hashing
	// spreads the agents evenly over the entries.
	private List<EntryLink> usageReporters() {
		return this.links.values()
			.stream()
			.filter((link) -> link.entry() != null)
			.sorted(Comparator.comparingLong((link) -> Hashes.of(this.info.agentId() + link.entryRef())))
			.limit(2)
			.toList();
	}

	private void sendHeartbeat(long now, EntryLink link, List<UsageRecord> usage) {
		int limit = taskLimit(now, link);
		link.recordSent(now, limit);
		if (!usage.isEmpty()) {
			link.recordUsageSent(now, this.meter.sequence());
		}
		long offset = (this.document != null) ? this.document.promotionOffset() : -1;
		this.out.send(link.name(), new AgentHeartbeat(this.state, now, limit, this.consecutiveFailures, offset, usage));
	}

	private String currentMonth() {
		return YearMonth.from(Instant.ofEpochMilli(this.wallClockMillis).atZone(ZoneOffset.UTC)).toString();
	}

	/**
	 * Updates the state of the agent after a health check of the endpoint. A draining
	 * agent stays draining.
	 * @param now monotonic milliseconds
	 * @param healthy whether the endpoint passed the check
	 */
	public void updateHealth(long now, boolean healthy) {
		if (this.state == AgentState.DRAINING) {
			return;
		}
		AgentState next = healthy ? AgentState.SERVING : AgentState.UNHEALTHY;
		if (next != this.state) {
			this.state = next;
			this.links.values().forEach((link) -> sendHeartbeat(now, link, List.of()));
		}
	}

	/**
	 * Starts draining: refuses new dispatches from now on and notifies every entry.
	 * @param now monotonic milliseconds
	 */
	public void drain(long now) {
		this.state = AgentState.DRAINING;
		this.links.values().forEach((link) -> sendHeartbeat(now, link, List.of()));
		sendGoodbyeOnceIdle(now);
	}

	private void sendGoodbyeOnceIdle(long now) {
		boolean idle = this.slots.isEmpty();
		if (this.state != AgentState.DRAINING || !idle || this.goodbyeSent || !drainAcknowledged(now)) {
			return;
		}
		this.goodbyeSent = true;
		for (EntryLink link : this.links.values()) {
			List<UsageRecord> usage = this.meter.changedSince(link.usageSequence());
			sendHeartbeat(now, link, usage);
			this.out.send(link.name(), new AgentGoodbye(now));
		}
	}

	private boolean drainAcknowledged(long now) {
		return this.links.values()
			.stream()
			.filter((link) -> link.activeWithin(now, this.settings.entrySilentMillis()))
			.allMatch(EntryLink::drainAcknowledged);
	}

	/**
	 * Returns whether a draining agent may exit.
	 * @param now monotonic milliseconds
	 * @return {@code true} once every reachable entry has acknowledged the goodbye
	 */
	public boolean canExit(long now) {
		return this.goodbyeSent && this.links.values()
			.stream()
			.filter((link) -> link.activeWithin(now, this.settings.entrySilentMillis()))
			.allMatch(EntryLink::goodbyeAcknowledged);
	}

	public AgentState state() {
		return this.state;
	}

	public int runningTasks() {
		return this.slots.running();
	}

	public int waitingTasks() {
		return this.slots.waiting();
	}

	public int ledgerStarts() {
		return this.ledger.starts();
	}

	public int ledgerJobs() {
		return this.ledger.jobs();
	}

	/**
	 * Returns the addresses of all known entries.
	 * @return addresses as {@code host:port}
	 */
	public List<String> entryAddresses() {
		return List.copyOf(this.knownEntries.keySet());
	}

	/**
	 * Returns the newest promoted environment document.
	 * @return the document, or empty if none has been received
	 */
	public Optional<DocumentNotice> document() {
		return Optional.ofNullable(this.document);
	}

}
