package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides to which entries an agent keeps links. Where entries are few it is all of them.
 * Where they are many it is {@value #LINKS} of them, so that the messages of an agent do
 * not grow with the number of entries, nor those of an entry with the number of agents.
 * Each agent ranks the entries by a hash of both names (rendezvous hashing), which
 * spreads the agents evenly and moves few links when an entry comes or goes.
 * <p>
 * Example: an agent ranks e3, e1, e7, e5, e2, e4 and is linked to the first four. e1
 * dies, so e2 is dialled as well; e1 is dialled on, and when it has been back for a
 * while, the link to e2 is retired.
 * <p>
 * Invariant: an entry that is up within the first {@value #LINKS} of its agent that are
 * up is never retired. Used on the control thread only.
 */
public final class EntrySelection {

	/** Links of an agent. */
	static final int LINKS = 4;

	/** An entry that has not answered a dial for so long does not count. */
	static final long DIAL_MILLIS = 500;

	/** How long a better entry has to be up before a link in its place is retired. */
	static final long STABLE_MILLIS = 2_000;

	private final String agent;

	private final Map<String, Candidate> candidates = new HashMap<>();

	private final List<Candidate> ranked = new ArrayList<>();

	/**
	 * Create the selection of an agent.
	 * @param agent name of the agent
	 */
	public EntrySelection(String agent) {
		this.agent = agent;
	}

	/**
	 * Add an entry.
	 * @param address address of its links
	 */
	public void add(String address) {
		if (!this.candidates.containsKey(address)) {
			Candidate c = new Candidate(address, rank(this.agent, address));
			this.candidates.put(address, c);
			this.ranked.add(c);
			this.ranked.sort(Comparator.comparingLong((o) -> o.rank));
		}
	}

	/**
	 * Mix the names well enough that similar ones rank differently.
	 * @param agent name of the agent
	 * @param address address of the entry
	 * @return the rank, lower is better
	 */
	private static long rank(String agent, String address) {
		long h = 31L * agent.hashCode() + address.hashCode();
		h = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
		h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
		return h ^ (h >>> 31);
	}

	/**
	 * Take it that a link is up.
	 * @param address the entry
	 * @param nowMillis the time
	 */
	public void linkUp(String address, long nowMillis) {
		Candidate c = this.candidates.get(address);
		if (c != null && !c.up) {
			c.up = true;
			c.sinceMillis = nowMillis;
		}
	}

	/**
	 * Take it that a link is down, or could not be opened.
	 * @param address the entry
	 */
	public void linkDown(String address) {
		Candidate c = this.candidates.get(address);
		if (c != null) {
			c.up = false;
		}
	}

	/**
	 * Choose the entries to dial, in order of rank, until enough of them are up or may
	 * soon be.
	 * @param nowMillis the time
	 * @return entries that were not dialled before
	 */
	public List<String> selectToDial(long nowMillis) {
		List<String> more = new ArrayList<>();
		int counted = 0;
		for (Candidate c : this.ranked) {
			if (counted == LINKS) {
				break;
			}
			if (!c.dialled) {
				c.dialled = true;
				c.dialledMillis = nowMillis;
				more.add(c.address);
			}
			if (c.up || nowMillis - c.dialledMillis < DIAL_MILLIS) {
				counted++;
			}
		}
		return more;
	}

	/**
	 * Choose the entries whose links are no longer wanted.
	 * @param nowMillis the time
	 * @return dialled entries that rank behind enough that have been up for a while
	 */
	public List<String> surplusLinks(long nowMillis) {
		List<String> surplus = new ArrayList<>();
		int stable = 0;
		for (Candidate c : this.ranked) {
			if (stable == LINKS && c.dialled) {
				surplus.add(c.address);
			}
			if (stable < LINKS && c.up && nowMillis - c.sinceMillis >= STABLE_MILLIS) {
				stable++;
			}
		}
		return surplus;
	}

	/**
	 * Take it that an entry is dialled no more.
	 * @param address the entry
	 */
	public void linkClosed(String address) {
		Candidate c = this.candidates.get(address);
		c.dialled = false;
		c.up = false;
	}

	private static final class Candidate {

		private final String address;

		private final long rank;

		private boolean dialled;

		private long dialledMillis;

		private boolean up;

		private long sinceMillis;

		Candidate(String address, long rank) {
			this.address = address;
			this.rank = rank;
		}

	}

}
