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

	/** Any agent with a free slot, with equal chance. */
	RANDOM {

		@Override
		Choice choose(PlacementView view) {
			List<AgentRecord> available = view.agentsWithCredit();
			return available.isEmpty() ? Choice.NONE : Choice.place(available.get(view.randomIndex(available.size())));
		}

	},

	/** The agent with the fewest of this entry's tasks. */
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

	/** The less loaded of two agents drawn by chance. */
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

	/** The first agent with a free slot, for jobs in the order of their arrival. */
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
	 * Choose an agent for the next task.
	 * @param view what is known of the agents
	 * @return where to place it, or to hold it, or that no agent is free
	 */
	abstract Choice choose(PlacementView view);

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
