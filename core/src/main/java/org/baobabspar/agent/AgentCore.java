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
 * Decisions of the process beside an endpoint. The agent is the gate: a task is started
 * only when the ledger shows that it was neither started nor fenced, and the dispatch is
 * fresh by the agent's own clock. Entries need no agreement among each other, because
 * whatever they believe, each agent orders fences and starts by itself: a start is either
 * reported to a fence or prevented by it.
 * <p>
 * Example: entry A dispatches task 0 under claim (1, 5, 0) and freezes. The caller
 * resubmits through entry B, which fences with (2, 9, 0). If the dispatch came first, the
 * reply names task 0 and B waits for its result, which the agent now sends to B. If the
 * fence came first, the dispatch is refused and B starts the task itself.
 * <p>
 * Invariant: each (job, index) is handed to the endpoint at most once within the window.
 * Every method runs on the control thread; time comes from the caller and is monotonic.
 */
public final class AgentCore {

	private static final long USAGE_REPORT_MILLIS = 2_000;

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

	private int failuresInRow;

	private long usageReportMillis;

	private long wallMillis;

	private boolean goodbyeSent;

	/**
	 * Create an agent.
	 * @param info what it announces
	 * @param settings its bounds
	 * @param out where its effects go
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
	 * Take a new link to an entry.
	 * @param now monotonic milliseconds
	 * @param link the name of the link
	 */
	public void linkUp(long now, String link) {
		EntryLink l = new EntryLink(link, now);
		this.links.put(link, l);
		l.sent(now, 0);
		this.out.send(link, new AgentHello(this.info, this.state, now, limit(now, l)));
	}

	/**
	 * Drop a link.
	 * @param now monotonic milliseconds
	 * @param link the name of the link
	 */
	public void linkDown(long now, String link) {
		this.links.remove(link);
	}

	/**
	 * Take a message from an entry.
	 * @param now monotonic milliseconds
	 * @param link the link it came on
	 * @param m the message
	 */
	public void receive(long now, String link, Message m) {
		EntryLink l = this.links.get(link);
		if (l == null) {
			return;
		}
		l.heard(now);
		if (m instanceof Dispatch d) {
			l.backlog(d.backlog());
			dispatch(now, l, d);
		}
		else if (m instanceof Fence f) {
			fence(l, now, f);
		}
		else if (m instanceof EntryHeartbeat h) {
			l.backlog(h.backlog());
			learn(h.peers());
		}
		else if (m instanceof EntryHello h) {
			l.greet(h.entry());
			learn(List.of(h.entry()));
			learn(h.peers());
			introduce(l);
			passDocument(l);
		}
		else if (m instanceof DocumentNotice d) {
			document(d);
		}
		else if (m instanceof DrainAck) {
			l.acknowledgeDrain();
		}
		else if (m instanceof GoodbyeAck) {
			l.acknowledgeGoodbye();
		}
	}

	private void learn(Collection<EntryInfo> entries) {
		for (EntryInfo e : entries) {
			this.knownEntries.put(e.address(), e);
		}
	}

	// Entries that cannot reach each other learn of one another here, so that a
	// resubmission
	// through one does not pass over the other.
	private void introduce(EntryLink greeted) {
		List<EntryInfo> others = new ArrayList<>();
		for (EntryLink l : this.links.values()) {
			if (l != greeted && l.entry() != null) {
				others.add(l.entry());
				this.out.send(l.link(), new EntryNotice(List.of(greeted.entry())));
			}
		}
		if (!others.isEmpty()) {
			this.out.send(greeted.link(), new EntryNotice(others));
		}
	}

	private void document(DocumentNotice d) {
		if (d.trial() || (this.document != null && this.document.promotionOffset() >= d.promotionOffset())) {
			return;
		}
		this.document = d;
		this.links.values().forEach(this::passDocument);
	}

	private void passDocument(EntryLink l) {
		if (this.document != null) {
			this.out.send(l.link(), this.document);
		}
	}

	private void dispatch(long now, EntryLink l, Dispatch d) {
		Optional<LedgerJob> known = this.ledger.find(d.jobId());
		if (known.flatMap((j) -> j.task(d.index())).filter((t) -> again(now, l, t, d)).isPresent()) {
			return;
		}
		Optional<ResultCode> refusal = refusal(now, known, d);
		LedgerJob j = this.ledger.open(now, d.jobId(), d.claim(), l.entryRef(), d.bodyHash());
		if (refusal.isPresent()) {
			j.refuse(d.index(), d.dispatchId());
			refuse(now, l, d, refusal.get());
			return;
		}
		if (d.claim().compareTo(j.claim()) > 0) {
			j.raise(d.claim(), l.entryRef());
		}
		j.adoptBody(d.bodyHash());
		LedgerTask t = new LedgerTask(d, l.entryRef());
		this.ledger.enter(j, t);
		this.slots.add(t);
		startWaiting(now);
	}

	// The holder of the claim is told the outcome again; nothing is ever started twice.
	private boolean again(long now, EntryLink l, LedgerTask t, Dispatch d) {
		if (t.ended()) {
			tellEnded(now, l, t, d.dispatchId());
		}
		return true;
	}

	private Optional<ResultCode> refusal(long now, Optional<LedgerJob> known, Dispatch d) {
		boolean refusedBefore = known.filter((j) -> j.refusedBefore(d.index(), d.dispatchId())).isPresent();
		if (refusedBefore || known.filter((j) -> d.claim().compareTo(j.claim()) < 0).isPresent()) {
			return Optional.of(ResultCode.GATE_FENCED);
		}
		if (now - d.stampMillis() > this.settings.leaseMillis()) {
			return Optional.of(ResultCode.GATE_LEASE_EXPIRED);
		}
		if (!this.state.takesWork()) {
			return Optional.of(ResultCode.GATE_DRAINING);
		}
		if (this.ledger.full()) {
			return Optional.of(ResultCode.GATE_LEDGER_FULL);
		}
		if (known.filter((j) -> j.everStarted() && j.bodyHash() != d.bodyHash()).isPresent()) {
			return Optional.of(ResultCode.KEY_REUSED);
		}
		if (this.slots.room() == 0) {
			return Optional.of(ResultCode.GATE_FULL);
		}
		return Optional.empty();
	}

	private void refuse(long now, EntryLink l, Dispatch d, ResultCode code) {
		int limit = (code == ResultCode.GATE_FULL) ? Math.min(this.slots.tasksOf(l), limit(now, l)) : limit(now, l);
		l.sent(now, limit);
		this.out.send(l.link(), new TaskRefused(d.jobId(), d.index(), d.dispatchId(), code.number(), now, limit));
	}

	private void startWaiting(long now) {
		Optional<LedgerTask> next = this.slots.takeSlot();
		while (next.isPresent()) {
			LedgerTask t = next.get();
			this.out.start(t, t.start(now));
			next = this.slots.takeSlot();
		}
	}

	private void fence(EntryLink l, long now, Fence f) {
		LedgerJob j = this.ledger.open(now, f.jobId(), f.claim(), l.entryRef(), f.bodyHash());
		boolean bodyDiffers = j.everStarted() && j.bodyHash() != f.bodyHash();
		if (bodyDiffers || j.claim().compareTo(f.claim()) > 0) {
			this.out.send(l.link(), new FenceReply(f.fenceId(), f.jobId(), false, bodyDiffers, List.of()));
			return;
		}
		withdrawWaiting(now, j, f.claim());
		tellSuperseded(j, l.entryRef(), f.claim());
		j.raise(f.claim(), l.entryRef());
		this.out.send(l.link(), new FenceReply(f.fenceId(), f.jobId(), true, false, j.startedTasks()));
	}

	private void withdrawWaiting(long now, LedgerJob j, Claim claim) {
		if (j.claim().compareTo(claim) >= 0) {
			return;
		}
		for (LedgerTask t : this.slots.withdraw(j.jobId())) {
			this.ledger.withdraw(j, t);
			linkOf(t.ownerRef()).ifPresent((l) -> tellRefused(now, l, t, ResultCode.GATE_FENCED));
		}
	}

	private void tellRefused(long now, EntryLink l, LedgerTask t, ResultCode code) {
		int limit = limit(now, l);
		l.sent(now, limit);
		this.out.send(l.link(), new TaskRefused(t.jobId(), t.index(), t.dispatchId(), code.number(), now, limit));
	}

	private void tellSuperseded(LedgerJob j, String newOwnerRef, Claim claim) {
		if (!j.ownerRef().equals(newOwnerRef)) {
			linkOf(j.ownerRef()).ifPresent((l) -> this.out.send(l.link(), new JobSuperseded(j.jobId(), claim)));
		}
	}

	// The holder of the claim wants the result; the entry that dispatched it wants its
	// credit.
	private List<EntryLink> owners(LedgerJob j, LedgerTask t) {
		return Stream.of(j.ownerRef(), t.ownerRef()).distinct().map(this::linkOf).flatMap(Optional::stream).toList();
	}

	private Optional<EntryLink> linkOf(String entryRef) {
		return this.links.values().stream().filter((l) -> l.entryRef().equals(entryRef)).findFirst();
	}

	/**
	 * Take the end of a task from the endpoint.
	 * @param now monotonic milliseconds
	 * @param jobId the job
	 * @param index the task
	 * @param code {@link ResultCode#COMPLETE} or a code of the failed family
	 * @param result the endpoint's answer
	 */
	public void taskEnded(long now, String jobId, int index, ResultCode code, byte[] result) {
		Optional<LedgerTask> ended = this.slots.freeSlot(jobId, index);
		if (ended.isEmpty()) {
			return;
		}
		LedgerTask t = ended.get();
		boolean success = code == ResultCode.COMPLETE;
		this.failuresInRow = success ? 0 : this.failuresInRow + 1;
		this.meter.end(t.usageKey(month()), t.meter(now), success);
		t.end(now, code.number(), result);
		this.ledger.end(now, t);
		startWaiting(now);
		this.ledger.find(jobId).ifPresent((j) -> owners(j, t).forEach((l) -> tellEnded(now, l, t, t.dispatchId())));
		wakeStarved(now);
	}

	/**
	 * Take back a task that never reached the endpoint, since no connection could be
	 * opened.
	 * @param now monotonic milliseconds
	 * @param jobId the job
	 * @param index the task
	 */
	public void taskNotSent(long now, String jobId, int index) {
		Optional<LedgerTask> t = this.slots.freeSlot(jobId, index);
		Optional<LedgerJob> j = this.ledger.find(jobId);
		if (t.isEmpty() || j.isEmpty()) {
			return;
		}
		this.ledger.withdraw(j.get(), t.get());
		updateHealth(now, false);
		owners(j.get(), t.get()).forEach((l) -> tellRefused(now, l, t.get(), ResultCode.GATE_ENDPOINT_DOWN));
	}

	private void tellEnded(long now, EntryLink l, LedgerTask t, long dispatchId) {
		int limit = limit(now, l);
		l.sent(now, limit);
		this.out.send(l.link(), new TaskEnded(t.jobId(), dispatchId, t.outcome(), now, limit, this.failuresInRow));
	}

	private void wakeStarved(long now) {
		if (!this.slots.slotFree()) {
			return;
		}
		for (EntryLink l : this.links.values()) {
			if (l.limit() == 0 && l.backlog() > 0 && this.state.takesWork()) {
				heartbeat(now, l, List.of());
			}
		}
	}

	private int limit(long now, EntryLink l) {
		if (!this.state.takesWork()) {
			return 0;
		}
		List<EntryLink> active = new ArrayList<>();
		for (EntryLink a : this.links.values()) {
			if (a == l || a.heardWithin(now, this.settings.entrySilentMillis())) {
				active.add(a);
			}
		}
		return this.slots.limit(l, active);
	}

	/**
	 * Do what is due: heartbeats, reports of use, expiry of the ledger.
	 * @param now monotonic milliseconds
	 * @param wallClockMillis milliseconds since 1970, for the month that use is booked in
	 */
	public void tick(long now, long wallClockMillis) {
		this.wallMillis = wallClockMillis;
		this.ledger.expire(now);
		for (LedgerTask t : this.slots.runningTasks()) {
			this.meter.run(t.usageKey(month()), t.meter(now));
		}
		List<EntryLink> reporters = reporters();
		for (EntryLink l : this.links.values()) {
			boolean reports = reporters.contains(l) && now - l.usageMillis() >= USAGE_REPORT_MILLIS * reporters.size()
					&& now - this.usageReportMillis >= USAGE_REPORT_MILLIS;
			List<UsageRecord> usage = reports ? this.meter.changedSince(l.usageSequence()) : List.of();
			if (!usage.isEmpty() || now - l.sentMillis() >= this.settings.heartbeatMillis()) {
				this.usageReportMillis = usage.isEmpty() ? this.usageReportMillis : now;
				heartbeat(now, l, usage);
			}
		}
		sayGoodbye(now);
	}

	// Rendezvous hashing spreads the agents evenly over the entries that carry their
	// counters.
	private List<EntryLink> reporters() {
		return this.links.values()
			.stream()
			.filter((l) -> l.entry() != null)
			.sorted(Comparator.comparingLong((l) -> Hashes.of(this.info.agentId() + l.entryRef())))
			.limit(2)
			.toList();
	}

	private void heartbeat(long now, EntryLink l, List<UsageRecord> usage) {
		int limit = limit(now, l);
		l.sent(now, limit);
		if (!usage.isEmpty()) {
			l.usageSent(now, this.meter.sequence());
		}
		long offset = (this.document != null) ? this.document.promotionOffset() : -1;
		this.out.send(l.link(), new AgentHeartbeat(this.state, now, limit, this.failuresInRow, offset, usage));
	}

	private String month() {
		return YearMonth.from(Instant.ofEpochMilli(this.wallMillis).atZone(ZoneOffset.UTC)).toString();
	}

	/**
	 * Take the verdict of a health check of the endpoint.
	 * @param now monotonic milliseconds
	 * @param healthy whether the endpoint answered
	 */
	public void updateHealth(long now, boolean healthy) {
		if (this.state == AgentState.DRAINING) {
			return;
		}
		AgentState next = healthy ? AgentState.SERVING : AgentState.UNHEALTHY;
		if (next != this.state) {
			this.state = next;
			this.links.values().forEach((l) -> heartbeat(now, l, List.of()));
		}
	}

	/**
	 * Start to leave: take nothing new, tell every entry.
	 * @param now monotonic milliseconds
	 */
	public void drain(long now) {
		this.state = AgentState.DRAINING;
		this.links.values().forEach((l) -> heartbeat(now, l, List.of()));
		sayGoodbye(now);
	}

	private void sayGoodbye(long now) {
		boolean idle = this.slots.empty();
		if (this.state != AgentState.DRAINING || !idle || this.goodbyeSent || !drainAcknowledged(now)) {
			return;
		}
		this.goodbyeSent = true;
		for (EntryLink l : this.links.values()) {
			List<UsageRecord> usage = this.meter.changedSince(l.usageSequence());
			heartbeat(now, l, usage);
			this.out.send(l.link(), new AgentGoodbye(now));
		}
	}

	private boolean drainAcknowledged(long now) {
		return this.links.values()
			.stream()
			.filter((l) -> l.heardWithin(now, this.settings.entrySilentMillis()))
			.allMatch(EntryLink::drainAcknowledged);
	}

	/**
	 * Tell whether a draining agent may exit.
	 * @param now monotonic milliseconds
	 * @return {@code true} once every reachable entry has received all that was sent
	 */
	public boolean canExit(long now) {
		return this.goodbyeSent && this.links.values()
			.stream()
			.filter((l) -> l.heardWithin(now, this.settings.entrySilentMillis()))
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
	 * Return the addresses of all entries heard of.
	 * @return addresses as {@code host:port}
	 */
	public List<String> entryAddresses() {
		return List.copyOf(this.knownEntries.keySet());
	}

	/**
	 * Return the newest promoted document.
	 * @return the document, or empty before the first is heard of
	 */
	public Optional<DocumentNotice> document() {
		return Optional.ofNullable(this.document);
	}

}
