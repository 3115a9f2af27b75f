package org.baobabspar.supervise;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link EndpointHealth} with the patterns of bad endpoints.
 */
public class EndpointHealthTests {

	private static final long EXPECTED_MILLIS = 100;

	private static SupervisedRun run(String job) {
		return new SupervisedRun(new RunKey(job, job + "/0/0", 1), new Owner("entry"), Resources.NONE, EXPECTED_MILLIS,
				0);
	}

	/**
	 * Endpoints that were bought over years.
	 */
	public static class Speeds extends EndpointHealthTests {

		@Test
		void areLearnedFromEnds() {
			EndpointHealth h = new EndpointHealth();
			for (int i = 0; i < 40; i++) {
				h.ended(run("j" + i), RunEnd.DONE, (i % 2 == 0) ? 140 : 190, 100L * i);
			}
			Assert.assertEquals(h.speed(4_000), 0.61, 0.06);
		}

	}

	/**
	 * An endpoint that turns slow for some seconds.
	 */
	public static class SlowSpells extends EndpointHealthTests {

		private EndpointHealth slowed() {
			EndpointHealth h = new EndpointHealth();
			for (int i = 0; i < 60; i++) {
				h.ended(run("j" + i), RunEnd.DONE, EXPECTED_MILLIS, 50L * i);
			}
			for (int i = 0; i < 8; i++) {
				h.behind(0.13, 3_000 + 100L * i);
			}
			return h;
		}

		@Test
		void showInRunsThatAreBehind() {
			Assert.assertTrue(slowed().speed(3_700) < 0.45);
		}

		@Test
		void areForgottenWhenNoRunTellsOfThem() {
			EndpointHealth h = slowed();
			Assert.assertTrue(h.speed(4_500) < 0.5);
			Assert.assertTrue(h.speed(6_700) > 0.5);
			Assert.assertTrue(h.speed(9_700) > 0.8);
		}

	}

	/**
	 * An endpoint that fails all that it starts.
	 */
	public static class Failures extends EndpointHealthTests {

		@Test
		void ofOneJobDoNotCountAgainstTheEndpoint() {
			EndpointHealth h = new EndpointHealth();
			h.ended(run("a"), RunEnd.FAILED, 10, 1_000);
			h.ended(run("a"), RunEnd.FAILED, 10, 1_010);
			Assert.assertFalse(h.aside(1_011));
		}

		@Test
		void setItAsideForLongerEachTime() {
			EndpointHealth h = new EndpointHealth();
			h.ended(run("a"), RunEnd.FAILED, 10, 1_000);
			h.ended(run("b"), RunEnd.FAILED, 10, 1_000);
			Assert.assertTrue(h.aside(1_499));
			Assert.assertFalse(h.aside(1_500));
			Assert.assertTrue(h.onTrial());
			h.ended(run("c"), RunEnd.FAILED, 10, 1_600);
			Assert.assertTrue(h.aside(2_599));
		}

		@Test
		void areForgivenWithASuccess() {
			EndpointHealth h = new EndpointHealth();
			h.ended(run("a"), RunEnd.FAILED, 10, 1_000);
			h.ended(run("b"), RunEnd.FAILED, 10, 1_000);
			h.ended(run("c"), RunEnd.DONE, 100, 1_600);
			Assert.assertFalse(h.aside(1_600));
			Assert.assertFalse(h.onTrial());
		}

	}

}
