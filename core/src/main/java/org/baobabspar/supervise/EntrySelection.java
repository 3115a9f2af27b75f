package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the entries to which an agent keeps links. If there are few entries, it selects
 * all of them. If there are many, it selects {@value #MAX_LINKS}, so that the number of
 * messages of an agent does not grow with the number of entries, nor that of an entry
 * with the number of agents. Each agent ranks the entries by a hash of both names
 * (rendezvous hashing), which distributes the agents evenly and moves few links when an
 * entry comes or goes.
 * <p>
 * Example: an agent ranks e3, e1, e7, e5, e2, e4 and is linked to the first four. When e1
 * fails, e2 is dialled in addition. The agent keeps dialling e1, and once e1 has been up
 * again for {@value #STABLE_MILLIS} ms, the link to e2 is retired.
 * <p>
 * Invariant: of the entries that are up, the {@value #MAX_LINKS} with the best ranks are
 * never retired. Used on the control thread only.
 */
public final class EntrySelection {

	/** Number of links that an agent keeps. */
	static final int MAX_LINKS = 4;

	/** Time after which a dialled entry that is not up no longer counts as a link. */
	static final long DIAL_TIMEOUT_MILLIS = 500;

	/** How long a better entry must be up before the link that replaced it is retired. */
	static final long STABLE_MILLIS = 2_000;

	private final String agent;

	private final Map<String, Candidate> candidates = new HashMap<>();

	private final List<Candidate> ranked = new ArrayList<>();

	/**
	 * Creates the selection of an agent.
	 * @param agent name of the agent
	 */
	public EntrySelection(String agent) {
		this.agent = agent;
	}

	/**
	 * Adds an entry, unless it is known.
	 * @param address address of the entry
	 */
	public void add(String address) {
		if (!this.candidates.containsKey(address)) {
			Candidate candidate = new Candidate(address, rank(this.agent, address));
			this.candidates.put(address, candidate);
			this.ranked.add(candidate);
			this.ranked.sort(Comparator.comparingLong((other) -> other.rank));
		}
	}

	/**
	 * Hashes the names of an agent and an entry. The hash is mixed so that similar names
	 * get unrelated ranks.
	 * @param agent name of the agent
	 * @param address address of the entry
	 * @return the rank, lower is better
	 */
	private static long rank(String agent, String address) {
		long hash = 31L * agent.hashCode() + address.hashCode();
		hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
		hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
		return hash ^ (hash >>> 31);
	}

	/**
	 * Records that the link to an entry is up.
	 * @param address address of the entry
	 * @param nowMillis the current time
	 */
	public void linkUp(String address, long nowMillis) {
		Candidate candidate = this.candidates.get(address);
		if (candidate != null && !candidate.up) {
			candidate.up = true;
			candidate.upSinceMillis = nowMillis;
		}
	}

	/**
	 * Records that the link to an entry is down, or could not be opened.
	 * @param address address of the entry
	 */
	public void linkDown(String address) {
		Candidate candidate = this.candidates.get(address);
		if (candidate != null) {
			candidate.up = false;
		}
	}

	/**
	 * Selects the entries to dial, in order of rank, until {@value #MAX_LINKS} entries
	 * are up or were dialled within {@value #DIAL_TIMEOUT_MILLIS} ms.
	 * @param nowMillis the current time
	 * @return the selected entries that have not been dialled yet
	 */
	public List<String> selectToDial(long nowMillis) {
		List<String> selected = new ArrayList<>();
		int links = 0;
		for (Candidate candidate : this.ranked) {
			if (links == MAX_LINKS) {
				break;
			}
			if (!candidate.dialled) {
				candidate.dialled = true;
				candidate.dialledMillis = nowMillis;
				selected.add(candidate.address);
			}
			if (candidate.up || nowMillis - candidate.dialledMillis < DIAL_TIMEOUT_MILLIS) {
				links++;
			}
		}
		return selected;
	}

	/**
	 * Returns the entries whose links are no longer wanted.
	 * @param nowMillis the current time
	 * @return the dialled entries that rank behind {@value #MAX_LINKS} stable ones
	 */
	public List<String> surplusLinks(long nowMillis) {
		List<String> surplus = new ArrayList<>();
		int stable = 0;
		for (Candidate candidate : this.ranked) {
			if (stable == MAX_LINKS && candidate.dialled) {
				surplus.add(candidate.address);
			}
			if (stable < MAX_LINKS && candidate.up && nowMillis - candidate.upSinceMillis >= STABLE_MILLIS) {
				stable++;
			}
		}
		return surplus;
	}

	/**
	 * Records that the link to an entry was closed on purpose and is no longer dialled.
	 * @param address address of the entry
	 */
	public void linkClosed(String address) {
		Candidate candidate = this.candidates.get(address);
		candidate.dialled = false;
		candidate.up = false;
	}

	private static final class Candidate {

		private final String address;

		private final long rank;

		private boolean dialled;

		private long dialledMillis;

		private boolean up;

		private long upSinceMillis;

		Candidate(String address, long rank) {
			this.address = address;
			this.rank = rank;
		}

	}

}
