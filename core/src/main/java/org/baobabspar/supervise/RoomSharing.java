package org.baobabspar.supervise;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.baobabspar.fleet.Resources;

/**
 * Divides the free room of an endpoint among its entries while all callers return after a
 * restart. Each entry places its jobs by what it was told last, and the backlogs of all
 * entries then meet the same empty endpoints: most starts are refused, and many jobs hold
 * a part of the room that they need and wait for the rest.
 * <p>
 * For some time after the agent has started, an entry is told a share of the free room
 * that is proportional to its recent starts, and at least room for one run of the latest
 * size. Shares overlap, since entries seldom use theirs at the same time. Afterwards each
 * is told all, since entries that see more of the room place better than those whose
 * starts are never refused. What an entry does not use is divided anew with the next
 * status, so the share of an entry that is silent comes back by itself. Example: eight
 * runs fit, and four entries have ordered as many of late; each is told room for four.
 * <p>
 * Invariant: the room that is told is never more than the free room; the sum of all
 * shares is at most {@value #OVERLAP} times the free room and one run for each entry. Not
 * thread-safe; used on the control thread only.
 */
final class RoomSharing {

	/** Time in which entries place what their callers have sent meanwhile. */
	static final long RETURN_MILLIS = 2_000;

	/** Time in which the weight of a start falls to a half. */
	private static final double HALF_LIFE_MILLIS = 500;

	/**
	 * Part of the room that is divided equally, so that an entry without recent starts
	 * can begin.
	 */
	private static final double EQUAL_PART = 0.25;

	/** Sum of the shares of all entries. */
	static final double OVERLAP = 2;

	private final Map<EntrySession, Demand> demands = new HashMap<>();

	private Resources latestRun = Resources.NONE;

	private long returnUntilMillis = Long.MIN_VALUE;

	/**
	 * Begins to divide the room. Called when the first entry links to an agent that has
	 * started.
	 * @param nowMillis the current time
	 */
	void begin(long nowMillis) {
		this.returnUntilMillis = nowMillis + RETURN_MILLIS;
	}

	/**
	 * Records that an entry has ordered a run.
	 * @param entry the entry
	 * @param room the room of the run
	 * @param nowMillis the current time
	 */
	void recordStart(EntrySession entry, Resources room, long nowMillis) {
		this.latestRun = room;
		this.demands.computeIfAbsent(entry, (e) -> new Demand()).add(room.cpuMillicores(), nowMillis);
	}

	void forget(EntrySession entry) {
		this.demands.remove(entry);
	}

	/**
	 * Returns the room that an entry may use until its next status.
	 * @param entry the entry
	 * @param free the free room
	 * @param linked all entries that are linked
	 * @param nowMillis the current time
	 * @return the room
	 */
	Resources lend(EntrySession entry, Resources free, Collection<EntrySession> linked, long nowMillis) {
		if (nowMillis >= this.returnUntilMillis || linked.size() < 2) {
			return free;
		}
		double total = 0;
		for (EntrySession other : linked) {
			total += demand(other, nowMillis);
		}
		double equalShare = 1.0 / linked.size();
		double demandShare = (total > 0) ? demand(entry, nowMillis) / total : equalShare;
		double share = OVERLAP * (EQUAL_PART * equalShare + (1 - EQUAL_PART) * demandShare);
		return new Resources(lend(free.cpuMillicores(), share, this.latestRun.cpuMillicores()),
				lend(free.memoryMegabytes(), share, this.latestRun.memoryMegabytes()),
				lend(free.acceleratorCount(), share, this.latestRun.acceleratorCount()));
	}

	private static long lend(long free, double share, long latestRun) {
		return Math.min(free, Math.max((long) (share * free), latestRun));
	}

	private double demand(EntrySession entry, long nowMillis) {
		Demand demand = this.demands.get(entry);
		return (demand != null) ? demand.valueAt(nowMillis) : 0;
	}

	/**
	 * A sum whose parts lose weight with their age.
	 */
	private static final class Demand {

		private double value;

		private long updatedMillis;

		void add(double amount, long nowMillis) {
			this.value = valueAt(nowMillis) + amount;
			this.updatedMillis = nowMillis;
		}

		double valueAt(long nowMillis) {
			return this.value * Math.pow(0.5, (nowMillis - this.updatedMillis) / HALF_LIFE_MILLIS);
		}

	}

}
