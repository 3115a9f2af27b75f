package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link EntrySelection} as entries fail and recover.
 */
public class EntrySelectionTests {

	private EntrySelection selection;

	private final Set<String> dialled = new HashSet<>();

	private long nowMillis;

	@BeforeMethod
	void reset() {
		this.selection = new EntrySelection("agent-1");
		this.dialled.clear();
		this.nowMillis = 0;
	}

	private void addEntries(int count) {
		for (int i = 0; i < count; i++) {
			this.selection.add(address(i));
		}
		dial();
	}

	private static String address(int number) {
		return "10.1.0." + number + ":7720";
	}

	private List<String> dial() {
		List<String> selected = this.selection.selectToDial(this.nowMillis);
		this.dialled.addAll(selected);
		return selected;
	}

	private void linkAllDialled() {
		this.dialled.forEach((address) -> this.selection.linkUp(address, this.nowMillis));
	}

	private void advance(long millis) {
		this.nowMillis += millis;
	}

	@Test
	void dialsAllEntriesIfThereAreFew() {
		addEntries(3);
		Assert.assertEquals(this.dialled.size(), 3);
	}

	@Test
	void dialsTheMaximumNumberOfLinksIfThereAreManyEntries() {
		addEntries(14);
		linkAllDialled();
		advance(10_000);
		Assert.assertEquals(dial(), List.of());
		Assert.assertEquals(this.dialled.size(), EntrySelection.MAX_LINKS);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of());
	}

	@Test
	void dialsAnotherEntryIfOneDoesNotAnswer() {
		addEntries(14);
		String failed = this.dialled.iterator().next();
		linkAllDialled();
		this.selection.linkDown(failed);
		Assert.assertEquals(dial(), List.of());
		advance(EntrySelection.DIAL_TIMEOUT_MILLIS);
		Assert.assertEquals(dial().size(), 1);
	}

	@Test
	void reportsASurplusLinkOnlyOnceABetterEntryIsStable() {
		addEntries(14);
		String failed = this.dialled.iterator().next();
		linkAllDialled();
		this.selection.linkDown(failed);
		advance(EntrySelection.DIAL_TIMEOUT_MILLIS);
		String replacement = dial().get(0);
		this.selection.linkUp(replacement, this.nowMillis);
		advance(5_000);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of());
		this.selection.linkUp(failed, this.nowMillis);
		advance(EntrySelection.STABLE_MILLIS - 1);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of());
		advance(1);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of(replacement));
		this.selection.linkClosed(replacement);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of());
		Assert.assertEquals(dial(), List.of());
	}

	@Test
	void distributesAgentsOverTheEntries() {
		Map<String, Integer> agents = new HashMap<>();
		for (int a = 0; a < 75; a++) {
			EntrySelection agentSelection = new EntrySelection("side-surat-" + a);
			for (int e = 0; e < 14; e++) {
				agentSelection.add(address(e));
			}
			agentSelection.selectToDial(0).forEach((e) -> agents.merge(e, 1, Integer::sum));
		}
		List<Integer> counts = new ArrayList<>(agents.values());
		Assert.assertEquals(counts.size(), 14);
		counts.forEach((c) -> Assert.assertTrue(c >= 10 && c <= 35, "agents of each entry: " + counts));
	}

}
