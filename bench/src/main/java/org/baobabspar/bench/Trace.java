package org.baobabspar.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A seeded list of jobs. Arrivals are a Poisson process; most jobs have one task, some
 * have tens; tasks take 50 ms to 1 s on an endpoint of slowness 1, one in a hundred takes
 * several seconds; declared run times are off by up to a factor of four either way.
 * Immutable and safe for any thread.
 *
 * @param jobs the jobs in the order of arrival
 */
public record Trace(List<TraceJob> jobs) {

	private static final double MIN_WORK_MILLIS = 50;

	private static final double MAX_WORK_MILLIS = 1_000;

	private static final double LONG_PART = 0.01;

	private static final int LONG_MIN_MILLIS = 2_000;

	private static final int LONG_SPREAD_MILLIS = 3_000;

	private static final double DECLARED_FACTOR = 4;

	/** Mean work of a task: a log-uniform law with a part of long tasks. */
	public static final double MEAN_WORK_MILLIS = (1 - LONG_PART) * (MAX_WORK_MILLIS - MIN_WORK_MILLIS)
			/ Math.log(MAX_WORK_MILLIS / MIN_WORK_MILLIS) + LONG_PART * (LONG_MIN_MILLIS + LONG_SPREAD_MILLIS / 2.0);

	/** Mean number of tasks of a job, see {@link #tasks}. */
	public static final double MEAN_TASKS = 0.7 + 0.25 * 5 + 0.05 * 25;

	/**
	 * Draw jobs of one party.
	 * @param seed the seed
	 * @param party the party
	 * @param classes the classes, drawn evenly
	 * @param workPerMilli offered work, in work milliseconds a millisecond
	 * @param fromMillis when arrivals begin
	 * @param toMillis when arrivals end
	 * @return the trace
	 */
	public static Trace draw(long seed, String party, List<String> classes, double workPerMilli, long fromMillis,
			long toMillis) {
		SplittableRandom r = new SplittableRandom(seed);
		double meanGap = MEAN_TASKS * MEAN_WORK_MILLIS / workPerMilli;
		List<TraceJob> jobs = new ArrayList<>();
		double t = fromMillis;
		while (true) {
			t -= Math.log(1 - r.nextDouble()) * meanGap;
			if (t >= toMillis) {
				return new Trace(jobs);
			}
			jobs.add(job(r, jobs.size(), (long) t, party, classes.get(r.nextInt(classes.size()))));
		}
	}

	private static TraceJob job(SplittableRandom r, int id, long arrival, String party, String taskClass) {
		int n = tasks(r);
		List<Integer> work = new ArrayList<>();
		List<Integer> declared = new ArrayList<>();
		for (int i = 0; i < n; i++) {
			int w = work(r);
			work.add(w);
			declared.add((int) (w * Math.pow(DECLARED_FACTOR, 2 * r.nextDouble() - 1)));
		}
		return new TraceJob(id, arrival, party, taskClass, work, declared);
	}

	private static int tasks(SplittableRandom r) {
		double x = r.nextDouble();
		if (x < 0.7) {
			return 1;
		}
		return (x < 0.95) ? 2 + r.nextInt(7) : 10 + r.nextInt(31);
	}

	private static int work(SplittableRandom r) {
		if (r.nextDouble() < LONG_PART) {
			return LONG_MIN_MILLIS + r.nextInt(LONG_SPREAD_MILLIS);
		}
		return (int) (MIN_WORK_MILLIS * Math.pow(MAX_WORK_MILLIS / MIN_WORK_MILLIS, r.nextDouble()));
	}

	/**
	 * Stretch or shrink the gaps so that the offered work is what was asked for, whatever
	 * the sizes that were drawn.
	 * @param workPerMilli offered work, in work milliseconds a millisecond
	 * @return the same jobs at other times
	 */
	public Trace atLoad(double workPerMilli) {
		long work = 0;
		long last = 1;
		for (TraceJob j : this.jobs) {
			work += j.workMillis().stream().mapToInt(Integer::intValue).sum();
			last = Math.max(last, j.arrivalMillis());
		}
		double factor = work / workPerMilli / last;
		return new Trace(this.jobs.stream()
			.map((j) -> new TraceJob(j.id(), Math.round(j.arrivalMillis() * factor), j.party(), j.taskClass(),
					j.workMillis(), j.declaredMillis()))
			.toList());
	}

	/**
	 * Merge two traces.
	 * @param other the other trace
	 * @return all jobs by arrival, numbered anew
	 */
	public Trace plus(Trace other) {
		List<TraceJob> all = new ArrayList<>(this.jobs);
		all.addAll(other.jobs);
		all.sort(Comparator.comparingLong(TraceJob::arrivalMillis));
		List<TraceJob> numbered = new ArrayList<>();
		for (TraceJob j : all) {
			numbered.add(new TraceJob(numbered.size(), j.arrivalMillis(), j.party(), j.taskClass(), j.workMillis(),
					j.declaredMillis()));
		}
		return new Trace(numbered);
	}

}
