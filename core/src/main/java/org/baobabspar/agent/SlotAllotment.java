package org.baobabspar.agent;

import java.util.Arrays;

/**
 * Divides the slots of one endpoint among the entries that ask for them. Each entry gets
 * up to its demand in a max-min fair way; slots that nobody asks for are lent out evenly
 * as standing credits, so that an idle fleet starts at once without a question. An entry
 * always may have one task at the agent: the prefetch queue absorbs the surplus until the
 * other entries have heard of their smaller limits.
 * <p>
 * Example: 8 slots, demands {@code [20, 3, 0]} give limits {@code [5, 3, 1]}; demands
 * {@code [1, 0]} give {@code [5, 3]}.
 * <p>
 * Stateless and safe for any thread.
 */
final class SlotAllotment {

	private SlotAllotment() {
	}

	/**
	 * Divide the slots.
	 * @param slots slots of the endpoint
	 * @param demands for each entry, its tasks at the agent plus its waiting tasks
	 * @return for each entry, how many tasks it may have at the agent
	 */
	static int[] divide(int slots, int[] demands) {
		int n = demands.length;
		int[] limits = new int[n];
		int left = slots;
		Integer[] order = new Integer[n];
		Arrays.setAll(order, (i) -> i);
		Arrays.sort(order, (a, b) -> Integer.compare(demands[a], demands[b]));
		for (int k = 0; k < n; k++) {
			int fair = ceilDivide(left, n - k);
			limits[order[k]] = Math.min(demands[order[k]], Math.min(fair, left));
			left -= limits[order[k]];
		}
		for (int k = n - 1; k >= 0; k--) {
			int share = ceilDivide(left, k + 1);
			limits[order[k]] = Math.max(1, limits[order[k]] + share);
			left -= share;
		}
		return limits;
	}

	private static int ceilDivide(int a, int b) {
		return (a + b - 1) / b;
	}

}
