package org.baobabspar.dispatch;

import java.util.HashSet;
import java.util.Set;

import org.baobabspar.fleet.RunKey;
import org.baobabspar.fleet.Step;

/**
 * One task of a job. Invariant: at most one of its runs may be present in the fleet; the
 * next is ordered only after the end of the last is known. Used on the control thread
 * only.
 */
final class PlacedTask {

	/** How far the task is. */
	enum State {

		/** Waits for an endpoint. */
		WAITING,

		/** Ordered from an agent, and perhaps running. */
		ORDERED,

		/** Has done its work. */
		DONE

	}

	final DispatchedJob job;

	final int step;

	final String name;

	final Step spec;

	/** Names of agents where it failed. */
	final Set<String> failedAt = new HashSet<>();

	State state = State.WAITING;

	long run = 1;

	int failures;

	AgentView agent;

	PlacedTask(DispatchedJob job, int step, int index) {
		this.job = job;
		this.step = step;
		this.spec = job.order.steps().get(step);
		this.name = job.order.id() + "/" + step + "/" + index;
	}

	RunKey key() {
		return new RunKey(this.job.order.id(), this.name, this.run);
	}

}
