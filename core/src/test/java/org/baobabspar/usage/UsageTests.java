package org.baobabspar.usage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Cumulative counters and the settlement.
 */
public class UsageTests {

	private static UsageRecord record(String agent, String month, String party, long millis) {
		return new UsageRecord(agent, new UsageKey(month, party, "c", 1), new UsageCount(millis, millis / 10, 0));
	}

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1 }, { 2 }, { 3 }, { 4 }, { 5 } };
	}

	@Test(dataProvider = "seeds")
	void repeatsAndDisorderChangeNothing(int seed) {
		List<UsageRecord> reports = new ArrayList<>();
		for (int i = 1; i <= 20; i++) {
			reports.add(record("a@1", "2026-11", "p", 10L * i));
			reports.add(record("a@2", "2026-11", "p", 5L * i));
		}
		reports.addAll(reports.subList(0, 15));
		Collections.shuffle(reports, new Random(seed));
		UsageCounters b = new UsageCounters();
		reports.forEach(b::merge);
		Assert.assertEquals(b.totalsByParty().get("p").slotMillis(), 300);
	}

	@Test
	void onlyChangesAreTakenOnce() {
		UsageCounters b = new UsageCounters();
		b.merge(record("a@1", "2026-11", "p", 10));
		Assert.assertEquals(b.takeChanged().size(), 1);
		b.merge(record("a@1", "2026-11", "p", 10));
		Assert.assertEquals(b.takeChanged().size(), 0);
	}

	@Test
	void settlementKeepsMonthsApartAndShowsWhatMayBeMissing() {
		List<UsageRecord> records = List.of(record("a@1", "2026-11", "p", 300), record("a@1", "2026-11", "q", 100),
				record("a@1", "2026-12", "q", 900), record("a@1", "2026-11", "p", 200));
		Settlement s = Settlement.of("2026-11", Map.of("p", 0.5, "q", 0.5), records, 2_000, 8);
		Assert.assertEquals(s.totalSlotMillis(), 400);
		Assert.assertEquals(s.lines().get(0).usedShare(), 0.75, 1e-9);
		Assert.assertEquals(s.lines().get(1).difference(), -0.25, 1e-9);
		Assert.assertEquals(s.missingSlotMillis(), 16_000);
	}

}
