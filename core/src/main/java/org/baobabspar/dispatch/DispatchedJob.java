package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.baobabspar.dispatch.PlacedTask.State;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Route;

/**
 * A job from its submission until nothing of it may run. Used on the control thread only.
 */
final class DispatchedJob {

	final JobSubmission order;

	final Route route;

	final List<PlacedTask> tasks = new ArrayList<>();

	/** Predicted run time of a task, by step. */
	final double[] predictedMillis;

	/** Longest chain of predicted run times. */
	final double chainMillis;

	private final int[] left;

	private int tasksLeft;

	List<Consumer<JobReply>> callers = new ArrayList<>();

	long receivedMillis;

	long deadlineMillis;

	/** When its first task was ordered, 0 before. */
	long firstOrderMillis;

	/** Runs that were ordered and whose end is not known. */
	int outstanding;

	/** Whether a run has surely or perhaps begun and has ended since. */
	boolean begun;

	/**
	 * Whether its caller has gone or has its answer; what still runs is being stopped.
	 */
	boolean givenUp;

	DispatchedJob(JobSubmission order, Route route, RunTimeModel model, long nowMillis, long deadlineMillis) {
		this.order = order;
		this.route = route;
		this.receivedMillis = nowMillis;
		this.deadlineMillis = deadlineMillis;
		int steps = order.steps().size();
		this.predictedMillis = new double[steps];
		this.left = new int[steps];
		double[] chain = new double[steps];
		double longest = 0;
		for (int s = 0; s < steps; s++) {
			this.predictedMillis[s] = model.predict(route.name(), order.steps().get(s).estimateMillis());
			this.left[s] = order.steps().get(s).count();
			for (int i = 0; i < this.left[s]; i++) {
				this.tasks.add(new PlacedTask(this, s, i));
			}
			double before = order.steps().get(s).dependsOn().stream().mapToDouble((d) -> chain[d]).max().orElse(0);
			chain[s] = before + this.predictedMillis[s];
			longest = Math.max(longest, chain[s]);
		}
		this.chainMillis = longest;
		this.tasksLeft = this.tasks.size();
	}

	double objectiveMillis() {
		return this.route.objectiveMillis(this.chainMillis);
	}

	boolean mayHaveBegun() {
		return this.begun || this.outstanding > 0;
	}

	boolean due(PlacedTask t) {
		return t.state == State.WAITING && t.spec.dependsOn().stream().allMatch((d) -> this.left[d] == 0);
	}

	List<PlacedTask> dueTasks() {
		return this.tasks.stream().filter(this::due).toList();
	}

	boolean waiting() {
		return !this.givenUp && this.tasksLeft > this.outstanding && this.tasks.stream().anyMatch(this::due);
	}

	void ordered(PlacedTask t) {
		t.state = State.ORDERED;
		this.outstanding++;
	}

	void done(PlacedTask t) {
		t.state = State.DONE;
		this.left[t.step]--;
		this.tasksLeft--;
	}

	boolean complete() {
		return this.tasksLeft == 0;
	}

}
