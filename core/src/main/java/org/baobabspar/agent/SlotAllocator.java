package org.baobabspar.agent;

import java.util.Arrays;

/**
 * Divides the slots of one endpoint among the entries that place tasks there. Demand is
 * met by max-min fairness. Slots that no entry demands are lent out evenly as standing
 * credits, so that in an idle fleet an entry can dispatch at once without asking first.
 * Each entry may always have at least one task at the agent; the prefetch queue absorbs
 * the excess until the other entries have received their reduced limits.
 * <p>
 * Example: 8 slots with demands {@code [20, 3, 0]} give the limits {@code [5, 3, 1]};
 * demands {@code [1, 0]} give {@code [5, 3]}.
 * <p>
 * Stateless and thread-safe.
 */
final class SlotAllocator {

	private SlotAllocator() {
	}

	/**
	 * Allocates the slots.
	 * @param slots the number of slots of the endpoint
	 * @param demands for each entry, its tasks at the agent plus its waiting tasks
	 * @return for each entry, the maximum number of tasks it may have at the agent
	 */
	static int[] allocate(int slots, int[] demands) {
		int count = demands.length;
		int[] limits = new int[count];
		int remaining = slots;
		Integer[] order = new Integer[count];
		Arrays.setAll(order, (i) -> i);
		Arrays.sort(order, (a, b) -> Integer.compare(demands[a], demands[b]));
		for (int k = 0; k < count; k++) {
			int fairShare = ceilDivide(remaining, count - k);
			limits[order[k]] = Math.min(demands[order[k]], Math.min(fairShare, remaining));
			remaining -= limits[order[k]];
		}
		for (int k = count - 1; k >= 0; k--) {
			int lent = ceilDivide(remaining, k + 1);
			limits[order[k]] = Math.max(1, limits[order[k]] + lent);
			remaining -= lent;
		}
		return limits;
	}

	private static int ceilDivide(int a, int b) {
		return (a + b - 1) / b;
	}

}
