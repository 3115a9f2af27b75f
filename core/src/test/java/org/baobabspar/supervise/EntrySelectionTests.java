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
 * Which entries an agent is linked to, as entries come and go.
 */
public class EntrySelectionTests {

	private EntrySelection selection;

	private final Set<String> dialled = new HashSet<>();

	private long nowMillis;

	@BeforeMethod
	void forget() {
		this.selection = new EntrySelection("agent-1");
		this.dialled.clear();
		this.nowMillis = 0;
	}

	private void know(int entries) {
		for (int i = 0; i < entries; i++) {
			this.selection.add(address(i));
		}
		dial();
	}

	private static String address(int number) {
		return "10.1.0." + number + ":7720";
	}

	private List<String> dial() {
		List<String> more = this.selection.selectToDial(this.nowMillis);
		this.dialled.addAll(more);
		return more;
	}

	private void allUp() {
		this.dialled.forEach((d) -> this.selection.linkUp(d, this.nowMillis));
	}

	private void pass(long millis) {
		this.nowMillis += millis;
	}

	@Test
	void aFewEntriesAreAllDialled() {
		know(3);
		Assert.assertEquals(this.dialled.size(), 3);
	}

	@Test
	void ofManyEntriesAFewAreDialled() {
		know(14);
		allUp();
		pass(10_000);
		Assert.assertEquals(dial(), List.of());
		Assert.assertEquals(this.dialled.size(), EntrySelection.LINKS);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of());
	}

	@Test
	void anEntryThatDoesNotAnswerIsPassedOver() {
		know(14);
		String dead = this.dialled.iterator().next();
		allUp();
		this.selection.linkDown(dead);
		Assert.assertEquals(dial(), List.of());
		pass(EntrySelection.DIAL_MILLIS);
		Assert.assertEquals(dial().size(), 1);
	}

	@Test
	void aLinkIsSurplusOnlyOnceABetterEntryHasBeenBackForAWhile() {
		know(14);
		String dead = this.dialled.iterator().next();
		allUp();
		this.selection.linkDown(dead);
		pass(EntrySelection.DIAL_MILLIS);
		String substitute = dial().get(0);
		this.selection.linkUp(substitute, this.nowMillis);
		pass(5_000);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of());
		this.selection.linkUp(dead, this.nowMillis);
		pass(EntrySelection.STABLE_MILLIS - 1);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of());
		pass(1);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of(substitute));
		this.selection.linkClosed(substitute);
		Assert.assertEquals(this.selection.surplusLinks(this.nowMillis), List.of());
		Assert.assertEquals(dial(), List.of());
	}

	@Test
	void manyAgentsAreSpreadOverTheEntries() {
		Map<String, Integer> agents = new HashMap<>();
		for (int a = 0; a < 75; a++) {
			EntrySelection s = new EntrySelection("side-surat-" + a);
			for (int e = 0; e < 14; e++) {
				s.add(address(e));
			}
			s.selectToDial(0).forEach((e) -> agents.merge(e, 1, Integer::sum));
		}
		List<Integer> counts = new ArrayList<>(agents.values());
		Assert.assertEquals(counts.size(), 14);
		counts.forEach((c) -> Assert.assertTrue(c >= 10 && c <= 35, "agents of each entry: " + counts));
	}

}
