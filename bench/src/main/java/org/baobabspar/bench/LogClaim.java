package org.baobabspar.bench;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import org.HdrHistogram.Histogram;
import org.baobabspar.daemon.HttpCall;
import org.baobabspar.daemon.Json;
import org.baobabspar.daemon.LogClient;

/**
 * Compares what a claim on the log would add to each job with what asking the other
 * entries adds. Used by one thread.
 */
final class LogClaim {

	private static final int CALLS = 1_000;

	private LogClaim() {
	}

	/**
	 * Measure.
	 * @return a line for each way
	 */
	static List<String> run() {
		try (Fleet f = new Fleet(2, new double[] { 1, 1, 1, 1 }, "expected-finish")) {
			LogClient log = new LogClient("127.0.0.1:" + f.logPort());
			HttpCall entry = new HttpCall("127.0.0.1:" + f.httpPorts().get(0));
			measure("warm", (i) -> log.append("claims", Map.of("job", i)).block());
			String append = measure("append to the log stand-in, nothing synced",
					(i) -> log.append("claims", Map.of("job", i)).block());
			measure("warm", (i) -> submit(entry, "urgent", "w" + i));
			String straight = measure("one-task job of 1 ms, declared first, idempotent class",
					(i) -> submit(entry, "urgent", "u" + i));
			measure("warm", (i) -> submit(entry, "ticket", "x" + i));
			String asked = measure("the same in a class that is not idempotent (one other entry asked)",
					(i) -> submit(entry, "ticket", "t" + i));
			return List.of(append, straight, asked);
		}
	}

	private static void submit(HttpCall entry, String taskClass, String key) {
		entry.post("/v1/jobs", Json.bytes(Map.of("party", "alpha", "class", taskClass, "idempotencyKey", key, "attempt",
				1, "tasks", List.of(Map.of("payload", Map.of("work", 1))))));
	}

	private static String measure(String name, IntConsumer call) {
		Histogram h = new Histogram(TimeUnit.SECONDS.toNanos(60), 3);
		for (int i = 0; i < CALLS; i++) {
			long begin = System.nanoTime();
			call.accept(i);
			h.recordValue(System.nanoTime() - begin);
		}
		return String.format(Locale.ROOT, "| %s | %.2f | %.2f |", name, h.getValueAtPercentile(50) / 1e6,
				h.getValueAtPercentile(99) / 1e6);
	}

}
