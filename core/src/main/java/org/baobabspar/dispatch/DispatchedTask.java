package org.baobabspar.dispatch;

import java.util.HashSet;
import java.util.Set;

import org.baobabspar.fleet.RunKey;
import org.baobabspar.fleet.Step;

/**
 * A task of a job and its runs. Invariant: at most one run of the task may exist in the
 * fleet; the next run is started only after the end of the previous one is known. Not
 * thread-safe; used on the control thread only.
 */
final class DispatchedTask {

	/** The progress of a task. */
	enum State {

		/** Not placed on an endpoint. */
		PENDING,

		/** A start was sent to an agent, and the run may be in progress. */
		DISPATCHED,

		/** Completed successfully. */
		DONE

	}

	final DispatchedJob job;

	/** Index of the step of the job to which the task belongs. */
	final int stepIndex;

	final String name;

	final Step step;

	/** Names of the agents on which runs of the task have failed. */
	final Set<String> failedAgents = new HashSet<>();

	State state = State.PENDING;

	long runNumber = 1;

	int failures;

	/** The agent to which the task is dispatched, {@code null} in any other state. */
	AgentView agent;

	/** The run before the current one, {@code null} if there was none. */
	PreviousRun previousRun;

	DispatchedTask(DispatchedJob job, int stepIndex, int taskIndex) {
		this.job = job;
		this.stepIndex = stepIndex;
		this.step = job.order.steps().get(stepIndex);
		this.name = job.order.id() + "/" + stepIndex + "/" + taskIndex;
	}

	RunKey runKey() {
		return new RunKey(this.job.order.id(), this.name, this.runNumber);
	}

}
