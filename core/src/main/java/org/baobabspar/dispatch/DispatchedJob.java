package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.baobabspar.dispatch.DispatchedTask.State;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Route;

/**
 * A job from its submission until none of its runs can exist in the fleet any more. Not
 * thread-safe; used on the control thread only.
 */
final class DispatchedJob {

	final JobSubmission order;

	final Route route;

	final List<DispatchedTask> tasks = new ArrayList<>();

	/** Predicted run time of a task of each step, at speed 1. */
	final double[] predictedMillis;

	/** Length of the critical path: the longest chain of predicted run times. */
	final double criticalPathMillis;

	/** Number of tasks of each step that are not done. */
	private final int[] remainingByStep;

	private int remainingTasks;

	/** Tells of the name of a task whether it must not be dispatched yet. */
	private final Predicate<String> heldBack;

	List<Consumer<JobReply>> callers = new ArrayList<>();

	long receivedMillis;

	long deadlineMillis;

	/** Time of the first dispatch of a task, 0 before that. */
	long firstDispatchMillis;

	/** How the entry got the job from its last caller, for the log. */
	String origin = "new";

	/** Number of runs that were dispatched and whose end is not known. */
	int outstandingRuns;

	/**
	 * Whether a caller is known to have sent its request just now, so that it has not
	 * turned to another entry since.
	 */
	boolean fresh;

	/** Whether nothing may be dispatched until the claim of the job is granted. */
	boolean awaitsClaim;

	/** Whether a run that may have started has ended. */
	boolean started;

	/**
	 * Whether no caller waits any more, because the job was answered or its callers have
	 * disconnected. Runs that are still outstanding are being stopped.
	 */
	boolean closed;

	DispatchedJob(JobSubmission order, Route route, RunTimeModel model, Predicate<String> heldBack, long nowMillis,
			long deadlineMillis) {
		this.order = order;
		this.route = route;
		this.heldBack = heldBack;
		this.receivedMillis = nowMillis;
		this.deadlineMillis = deadlineMillis;
		int steps = order.steps().size();
		this.predictedMillis = new double[steps];
		this.remainingByStep = new int[steps];
		double[] finishMillis = new double[steps];
		double longest = 0;
		for (int s = 0; s < steps; s++) {
			this.predictedMillis[s] = model.predict(route.name(), order.steps().get(s).estimateMillis());
			this.remainingByStep[s] = order.steps().get(s).count();
			for (int i = 0; i < this.remainingByStep[s]; i++) {
				this.tasks.add(new DispatchedTask(this, s, i));
			}
			double startMillis = order.steps()
				.get(s)
				.dependsOn()
				.stream()
				.mapToDouble((d) -> finishMillis[d])
				.max()
				.orElse(0);
			finishMillis[s] = startMillis + this.predictedMillis[s];
			longest = Math.max(longest, finishMillis[s]);
		}
		this.criticalPathMillis = longest;
		this.remainingTasks = this.tasks.size();
	}

	double objectiveMillis() {
		return this.route.objectiveMillis(this.criticalPathMillis);
	}

	boolean mayHaveStarted() {
		return this.started || this.outstandingRuns > 0;
	}

	/**
	 * Tells whether a task can be placed on an endpoint.
	 * @param task the task
	 * @return whether the task is pending, all steps on which it depends are done and it
	 * is not held back
	 */
	boolean ready(DispatchedTask task) {
		return task.state == State.PENDING && !this.heldBack.test(task.name) && dependenciesDone(task);
	}

	private boolean dependenciesDone(DispatchedTask task) {
		for (int step : task.step.dependsOn()) {
			if (this.remainingByStep[step] > 0) {
				return false;
			}
		}
		return true;
	}

	List<DispatchedTask> readyTasks() {
		List<DispatchedTask> ready = new ArrayList<>();
		for (DispatchedTask task : this.tasks) {
			if (ready(task)) {
				ready.add(task);
			}
		}
		return ready;
	}

	boolean placeable() {
		if (this.closed || this.awaitsClaim || this.remainingTasks <= this.outstandingRuns) {
			return false;
		}
		for (DispatchedTask task : this.tasks) {
			if (ready(task)) {
				return true;
			}
		}
		return false;
	}

	void markDispatched(DispatchedTask task) {
		task.state = State.DISPATCHED;
		this.outstandingRuns++;
	}

	void markDone(DispatchedTask task) {
		task.state = State.DONE;
		this.remainingByStep[task.stepIndex]--;
		this.remainingTasks--;
	}

	boolean complete() {
		return this.remainingTasks == 0;
	}

}
