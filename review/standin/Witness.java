import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sees on all workers which runs of a task are present at the same time. Thread-safe. */
final class Witness {

	private final Map<String, List<String>> present = new HashMap<>();

	private final Record record;

	private int overlaps;

	Witness(Record record) {
		this.record = record;
	}

	synchronized void began(String task, long number, String worker) {
		List<String> runs = this.present.computeIfAbsent(task, (t) -> new ArrayList<>());
		String run = "#" + number + " at " + worker;
		if (!runs.isEmpty()) {
			this.overlaps++;
			this.record.add("two runs of " + task + ": " + runs + " and " + run);
		}
		runs.add(run);
	}

	synchronized void ended(String task, long number, String worker) {
		this.present.get(task).remove("#" + number + " at " + worker);
	}

	/** Returns how often a run began while another one of its task was present. */
	synchronized int overlaps() {
		return this.overlaps;
	}

}
