package org.baobabspar.entry;

import java.util.List;

/**
 * Policies that choose the agent for a task. {@link #EXPECTED_FINISH} is the default; the
 * others are baselines for comparison. Immutable and safe for use by any thread.
 */
public enum PlacementPolicy {

	/**
	 * Chooses the agent on which the task is expected to finish first. The expected wait
	 * for a free slot is added for a busy agent, so a task may wait for a fast agent
	 * although a slow one is idle.
	 */
	EXPECTED_FINISH {

		@Override
		Choice choose(PlacementView view) {
			AgentRecord best = null;
			double bestMillis = Double.MAX_VALUE;
			boolean bestHasCredit = false;
			for (AgentRecord agent : view.agents()) {
				boolean hasCredit = view.freeCredits(agent) > 0;
				double finishMillis = view.serviceMillis(agent)
						+ (hasCredit ? 0 : BUSY_AGENT_WAIT_FACTOR * view.waitMillis(agent));
				if (finishMillis < bestMillis) {
					best = agent;
					bestMillis = finishMillis;
					bestHasCredit = hasCredit;
				}
			}
			if (best == null) {
				return Choice.NONE;
			}
			return bestHasCredit ? Choice.place(best) : Choice.waitFor(best);
		}

	},

	/** Chooses an agent with a free slot at random, with uniform probability. */
	RANDOM {

		@Override
		Choice choose(PlacementView view) {
			List<AgentRecord> available = view.agentsWithCredit();
			return available.isEmpty() ? Choice.NONE : Choice.place(available.get(view.randomIndex(available.size())));
		}

	},

	/**
	 * Chooses the agent with a free slot that has the fewest outstanding tasks of this
	 * entry.
	 */
	LEAST_OUTSTANDING {

		@Override
		Choice choose(PlacementView view) {
			return view.agentsWithCredit()
				.stream()
				.min((a, b) -> Integer.compare(a.inFlight(), b.inFlight()))
				.map(Choice::place)
				.orElse(Choice.NONE);
		}

	},

	/** Chooses the less loaded of two randomly drawn agents. */
	TWO_CHOICES {

		@Override
		Choice choose(PlacementView view) {
			List<AgentRecord> available = view.agentsWithCredit();
			if (available.isEmpty()) {
				return Choice.NONE;
			}
			AgentRecord first = available.get(view.randomIndex(available.size()));
			AgentRecord second = available.get(view.randomIndex(available.size()));
			return Choice.place((first.inFlight() <= second.inFlight()) ? first : second);
		}

	},

	/** Chooses the first agent with a free slot and serves jobs in order of arrival. */
	FIFO {

		@Override
		Choice choose(PlacementView view) {
			List<AgentRecord> available = view.agentsWithCredit();
			return available.isEmpty() ? Choice.NONE : Choice.place(available.get(0));
		}

		@Override
		boolean ordersByArrival() {
			return true;
		}

	};

	static final double BUSY_AGENT_WAIT_FACTOR = 2;

	/**
	 * Chooses an agent for the next task.
	 * @param view the state of the agents
	 * @return the agent to place the task on now, the busy agent to wait for, or
	 * {@link Choice#NONE} if no agent is available
	 */
	abstract Choice choose(PlacementView view);

	/**
	 * Returns whether jobs are served in order of arrival, regardless of class and party.
	 * @return {@code true} for a single queue in order of arrival
	 */
	boolean ordersByArrival() {
		return false;
	}

	/**
	 * The choice of a policy. Immutable.
	 *
	 * @param agent the agent, {@code null} for none
	 * @param immediate whether to place the task now rather than to wait for the agent
	 */
	record Choice(AgentRecord agent, boolean immediate) {

		static final Choice NONE = new Choice(null, false);

		static Choice place(AgentRecord agent) {
			return new Choice(agent, true);
		}

		static Choice waitFor(AgentRecord agent) {
			return new Choice(agent, false);
		}

	}

}
