package org.baobabspar.entry;

import java.util.List;

/**
 * Ways to choose the agent for a task. The first is the one in use; the others are
 * baselines to measure it against. Immutable and safe for any thread.
 */
public enum PlacementPolicy {

	/**
	 * The agent on which the task is expected to end first. A busy agent counts with the
	 * time until it frees a slot, so a task may wait for a fast agent although a slow one
	 * is idle.
	 */
	EXPECTED_FINISH {

		@Override
		Choice choose(PlacingView v) {
			AgentRecord best = null;
			double bestMillis = Double.MAX_VALUE;
			boolean free = false;
			for (AgentRecord a : v.agents()) {
				boolean hasCredit = v.freeCredits(a) > 0;
				double finish = v.serviceMillis(a) + (hasCredit ? 0 : HOLD_CAUTION * v.waitMillis(a));
				if (finish < bestMillis) {
					best = a;
					bestMillis = finish;
					free = hasCredit;
				}
			}
			if (best == null) {
				return Choice.NONE;
			}
			return free ? Choice.place(best) : Choice.hold(best);
		}

	},

	/** Any agent with a free slot, with equal chance. */
	RANDOM {

		@Override
		Choice choose(PlacingView v) {
			List<AgentRecord> free = v.free();
			return free.isEmpty() ? Choice.NONE : Choice.place(free.get(v.random(free.size())));
		}

	},

	/** The agent with the fewest of this entry's tasks. */
	LEAST_OUTSTANDING {

		@Override
		Choice choose(PlacingView v) {
			return v.free()
				.stream()
				.min((a, b) -> Integer.compare(a.inFlight(), b.inFlight()))
				.map(Choice::place)
				.orElse(Choice.NONE);
		}

	},

	/** The less loaded of two agents drawn by chance. */
	TWO_CHOICES {

		@Override
		Choice choose(PlacingView v) {
			List<AgentRecord> free = v.free();
			if (free.isEmpty()) {
				return Choice.NONE;
			}
			AgentRecord a = free.get(v.random(free.size()));
			AgentRecord b = free.get(v.random(free.size()));
			return Choice.place((a.inFlight() <= b.inFlight()) ? a : b);
		}

	},

	/** The first agent with a free slot, for jobs in the order of their arrival. */
	FIFO {

		@Override
		Choice choose(PlacingView v) {
			List<AgentRecord> free = v.free();
			return free.isEmpty() ? Choice.NONE : Choice.place(free.get(0));
		}

		@Override
		boolean ordersByArrival() {
			return true;
		}

	};

	static final double HOLD_CAUTION = 2;

	/**
	 * Choose an agent for the next task.
	 * @param v what is known of the agents
	 * @return where to place it, or to hold it, or that no agent is free
	 */
	abstract Choice choose(PlacingView v);

	/**
	 * Tell whether classes and parties are ignored.
	 * @return {@code true} for one queue in the order of arrival
	 */
	boolean ordersByArrival() {
		return false;
	}

	/**
	 * A choice. Immutable.
	 *
	 * @param agent the agent, {@code null} for none
	 * @param now whether to place the task now rather than to wait for the agent
	 */
	record Choice(AgentRecord agent, boolean now) {

		static final Choice NONE = new Choice(null, false);

		static Choice place(AgentRecord a) {
			return new Choice(a, true);
		}

		static Choice hold(AgentRecord a) {
			return new Choice(a, false);
		}

	}

}
