package org.baobabspar.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.baobabspar.daemon.Json;
import org.baobabspar.daemon.Setting;
import org.baobabspar.daemon.Settings;
import org.baobabspar.message.MessageType;
import org.baobabspar.model.CodeFamily;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.baobabspar.standin.EndpointFaults;

/**
 * The program {@code baobabspar-bench}: runs one scenario and prints its measures as one
 * JSON object in the last line. Stateless.
 */
public final class BenchMain {

	private static final List<Setting> SETTINGS = List.of(Setting.number("seed", 1, 0, Long.MAX_VALUE, "", "the seed"),
			Setting.number("seconds", 20, 4, 600, "s", "length of the trace"),
			Setting.text("load", "0.8", "offered work over capacity"),
			Setting.number("entries", 2, 1, 16, "entries", "number of entries"),
			Setting.number("agents", 11, 1, 64, "agents", "number of agents"),
			Setting.text("spread", "4", "slowest over fastest endpoint"),
			Setting.text("policy", "expected-finish", "how agents are chosen"));

	private static final double OTHER_LOAD = 0.4;

	private static final double FLOOD_LOAD = 10;

	private static final long DRAIN_MILLIS = 15_000;

	private static final List<String> CLASSES = List.of("urgent", "ticket", "normal", "normal", "report");

	private static final int EXIT_USAGE = 2;

	private BenchMain() {
	}

	/**
	 * Run a scenario.
	 * @param args the scenario and its flags
	 */
	public static void main(String[] args) {
		List<String> a = List.of(args);
		Optional<Scenario> s = Arrays.stream(Scenario.values())
			.filter((x) -> !a.isEmpty() && x.title().equals(a.get(0)))
			.findFirst();
		if (!a.isEmpty() && a.get(0).equals("slopes")) {
			new Slopes().run().forEach(System.out::println);
			System.exit(0);
		}
		if (!a.isEmpty() && a.get(0).equals("log-claim")) {
			LogClaim.run().forEach(System.out::println);
			System.exit(0);
		}
		if (s.isEmpty() || a.contains("--help")) {
			System.out.println("baobabspar-bench SCENARIO [flags]\nbaobabspar-bench slopes|log-claim\nscenarios: "
					+ Arrays.stream(Scenario.values()).map(Scenario::title).toList() + "\n"
					+ Settings.describe(SETTINGS));
			System.exit(a.contains("--help") ? 0 : EXIT_USAGE);
		}
		try {
			Settings settings = Settings.read(SETTINGS, a.subList(1, a.size()), Map.of());
			System.out.println(new String(Json.bytes(run(s.get(), settings))));
			System.exit(0);
		}
		catch (CodedException ex) {
			System.err.println("error " + ex.code().number() + " " + ex.code().name() + ": " + ex.getMessage());
			System.exit(EXIT_USAGE);
		}
	}

	private static int rank(TraceJob j) {
		return switch (j.taskClass()) {
			case "urgent", "ticket" -> 0;
			case "normal" -> 1;
			default -> 2;
		};
	}

	private static double[] slowness(int agents, double spread) {
		double[] r = new double[agents];
		for (int i = 0; i < agents; i++) {
			double x = (agents > 1) ? (double) i / (agents - 1) : 0.5;
			r[i] = Math.pow(spread, x - 0.5);
		}
		return r;
	}

	private static Map<String, Object> run(Scenario s, Settings settings) {
		long seed = settings.number("seed");
		double[] slowness = slowness(settings.integer("agents"), Double.parseDouble(settings.text("spread")));
		double capacity = Fleet.capacity(slowness);
		Map<String, Object> r = new LinkedHashMap<>();
		r.put("scenario", s.title());
		r.put("seed", seed);
		r.put("policy", settings.text("policy"));
		if (s.floods()) {
			flood(s, settings, slowness, capacity, r);
		}
		else {
			steady(s, settings, slowness, capacity, r);
		}
		return r;
	}

	private static Trace both(long seed, double work, long millis) {
		return Trace.draw(seed, "alpha", CLASSES, work / 2, 0, millis)
			.plus(Trace.draw(seed + 1_000_003, "beta", CLASSES, work / 2, 0, millis));
	}

	private static void steady(Scenario s, Settings settings, double[] slowness, double capacity,
			Map<String, Object> r) {
		long millis = settings.number("seconds") * 1000;
		double load = Double.parseDouble(settings.text("load"));
		Trace t = both(settings.number("seed"), load * capacity, millis).atLoad(load * capacity);
		double[] ideal = Ideal.replay(t, slowness, Fleet.SLOTS, BenchMain::rank);
		double[] classless = Ideal.replay(t, slowness, Fleet.SLOTS, (j) -> 0);
		boolean storm = s == Scenario.RESUBMIT_STORM;
		try (Fleet f = new Fleet(settings.integer("entries"), slowness, settings.text("policy"));
				Driver d = new Driver(f.httpPorts(), "s" + settings.number("seed"), storm ? 300 : 10_000, 6)) {
			warm(f, settings.number("seed"), capacity);
			Map<MessageType, Long> before = f.frames();
			faults(s, f, millis);
			List<Outcome> o = d.run(t, DRAIN_MILLIS);
			r.put("load", load);
			responses(o, ideal, r);
			List<Double> plain = o.stream()
				.filter(Outcome::complete)
				.map((x) -> x.responseMillis() / classless[x.job().id()])
				.toList();
			r.put("over_classless_ideal_p50", round(percentile(plain, 0.5)));
			r.put("over_classless_ideal_p99", round(percentile(plain, 0.99)));
			messages(f, before, tasks(o), r);
			truth(f, o, t, r);
		}
	}

	// Lets the service model see each endpoint and the virtual machine compile, with a
	// trace of its own.
	private static void warm(Fleet f, long seed, double capacity) {
		System.err.println("warming up");
		try (Driver d = new Driver(f.httpPorts(), "warm" + seed, 0, 1)) {
			d.run(both(seed + 77, 0.5 * capacity, 5_000), DRAIN_MILLIS);
		}
	}

	private static void faults(Scenario s, Fleet f, long millis) {
		if (s == Scenario.BAD_WORKER) {
			f.endpoints().get(0).faults(new EndpointFaults(false, true, false, 1));
			f.endpoints().get(1).faults(new EndpointFaults(true, false, false, 1));
		}
		if (s == Scenario.ENTRY_LOSS) {
			Thread t = new Thread(() -> {
				Fleet.pause(millis / 2);
				f.kill(0);
			}, "entry-loss");
			t.setDaemon(true);
			t.start();
		}
	}

	private static void flood(Scenario s, Settings settings, double[] slowness, double capacity,
			Map<String, Object> r) {
		long seed = settings.number("seed");
		long millis = settings.number("seconds") * 500;
		Trace other = Trace.draw(seed, "beta", CLASSES, OTHER_LOAD * capacity, 0, millis);
		Trace flood = Trace.draw(seed + 9, "alpha", s.floodClasses(), FLOOD_LOAD * capacity, millis / 5,
				4 * millis / 5);
		List<Outcome> quiet;
		List<Outcome> flooded;
		try (Fleet f = new Fleet(settings.integer("entries"), slowness, settings.text("policy"))) {
			warm(f, seed, capacity);
			try (Driver d = new Driver(f.httpPorts(), "q" + seed, 0, 1)) {
				quiet = d.run(other, DRAIN_MILLIS);
			}
			Map<MessageType, Long> before = f.frames();
			Trace all = other.plus(flood);
			try (Driver d = new Driver(f.httpPorts(), "f" + seed, 0, 1)) {
				flooded = d.run(all, DRAIN_MILLIS);
			}
			double[] ideal = Ideal.replay(other, slowness, Fleet.SLOTS, BenchMain::rank);
			responses(quiet, ideal, r);
			messages(f, before, tasks(flooded), r);
			truth(f, flooded, all, r);
		}
		List<Outcome> kept = flooded.stream().filter((o) -> o.job().party().equals("beta")).toList();
		long quietDone = quiet.stream().filter(Outcome::complete).count();
		r.put("kept_goodput_fraction", round((double) kept.stream().filter(Outcome::complete).count() / quietDone));
		r.put("kept_p99_ratio", round(percentile(times(kept), 0.99) / percentile(times(quiet), 0.99)));
		r.put("kept_p50_ratio", round(percentile(times(kept), 0.5) / percentile(times(quiet), 0.5)));
	}

	private static List<Double> times(List<Outcome> o) {
		return o.stream().filter(Outcome::complete).map(Outcome::responseMillis).toList();
	}

	private static void responses(List<Outcome> outcomes, double[] ideal, Map<String, Object> r) {
		List<Double> ratios = new ArrayList<>();
		List<Double> system = new ArrayList<>();
		List<Double> best = new ArrayList<>();
		for (Outcome o : outcomes) {
			if (o.complete()) {
				ratios.add(o.responseMillis() / ideal[o.job().id()]);
				system.add(o.responseMillis());
				best.add(ideal[o.job().id()]);
			}
		}
		r.put("response_over_ideal_p50", round(percentile(ratios, 0.5)));
		r.put("response_over_ideal_p99", round(percentile(ratios, 0.99)));
		r.put("p99_over_ideal_p99", round(percentile(system, 0.99) / percentile(best, 0.99)));
		r.put("response_p50_millis", round(percentile(system, 0.5)));
		r.put("response_p99_millis", round(percentile(system, 0.99)));
		r.put("ratio_p50_p99_by_class", byClass(outcomes, ideal));
		r.put("jobs", outcomes.size());
		r.put("complete", ratios.size());
	}

	private static Map<String, List<Double>> byClass(List<Outcome> outcomes, double[] ideal) {
		Map<String, List<Double>> r = new TreeMap<>();
		for (String c : Set.copyOf(CLASSES)) {
			List<Double> ratios = outcomes.stream()
				.filter((o) -> o.complete() && o.job().taskClass().equals(c))
				.map((o) -> o.responseMillis() / ideal[o.job().id()])
				.toList();
			r.put(c, List.of(round(percentile(ratios, 0.5)), round(percentile(ratios, 0.99))));
		}
		return r;
	}

	private static long tasks(List<Outcome> outcomes) {
		return outcomes.stream().filter(Outcome::complete).mapToLong((o) -> o.job().workMillis().size()).sum();
	}

	private static void messages(Fleet f, Map<MessageType, Long> before, long tasks, Map<String, Object> r) {
		long all = 0;
		long useful = 0;
		Map<String, Long> byType = new LinkedHashMap<>();
		for (Map.Entry<MessageType, Long> e : f.frames().entrySet()) {
			long n = e.getValue() - before.get(e.getKey());
			all += n;
			boolean task = e.getKey() == MessageType.DISPATCH || e.getKey() == MessageType.TASK_ENDED;
			useful += task ? Math.min(n, tasks) : 0;
			if (n > 0) {
				byType.put(e.getKey().name(), n);
			}
		}
		long refused = 2 * byType.getOrDefault(MessageType.TASK_REFUSED.name(), 0L);
		long fences = 2 * byType.getOrDefault(MessageType.FENCE.name(), 0L);
		r.put("messages_per_task", round((double) all / Math.max(1, tasks)));
		r.put("wasted_fraction", round((double) (refused + fences) / Math.max(1, all)));
		r.put("beyond_floor_fraction", round((double) (all - useful) / Math.max(1, all)));
		r.put("frames", byType);
	}

	private static void truth(Fleet f, List<Outcome> outcomes, Trace t, Map<String, Object> r) {
		long untrue = outcomes.stream()
			.filter((o) -> family(o) == CodeFamily.NOT_RUN && o.attempts() == 1 && f.started(o.jobId()))
			.count();
		Map<String, Integer> codes = new LinkedHashMap<>();
		outcomes.forEach((o) -> codes.merge(ResultCode.of(o.code()).map(Enum::name).orElse("LOST"), 1, Integer::sum));
		r.put("double_starts", f.doubleStarts());
		r.put("untrue_refusals", untrue);
		r.put("unanswered", t.jobs().size() - outcomes.size());
		r.put("codes", codes);
	}

	private static CodeFamily family(Outcome o) {
		return ResultCode.of(o.code()).map(ResultCode::family).orElse(CodeFamily.UNKNOWN);
	}

	private static double percentile(List<Double> values, double p) {
		double[] v = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		return (v.length > 0) ? v[(int) Math.min(v.length - 1, Math.floor(p * v.length))] : Double.NaN;
	}

	private static double round(double x) {
		return Math.round(x * 10_000) / 10_000.0;
	}

}
