package org.baobabspar.bench;

import java.util.List;

/**
 * What a run does. Immutable.
 */
enum Scenario {

	/** Steady arrivals of both parties. */
	STEADY("steady"),

	/** One party floods with the least urgent class. */
	FLOOD_LOW("flood-low") {

		@Override
		List<String> floodClasses() {
			return List.of("report");
		}

	},

	/** One party floods with the most urgent class. */
	FLOOD_URGENT("flood-urgent") {

		@Override
		List<String> floodClasses() {
			return List.of("urgent");
		}

	},

	/** One worker fails everything at once, another hangs. */
	BAD_WORKER("bad-worker"),

	/** Callers lose patience and resubmit elsewhere. */
	RESUBMIT_STORM("resubmit-storm"),

	/** An entry ends without notice. */
	ENTRY_LOSS("entry-loss");

	private final String title;

	Scenario(String title) {
		this.title = title;
	}

	String title() {
		return this.title;
	}

	/**
	 * Return the classes that are flooded.
	 * @return classes, none for a scenario without flood
	 */
	List<String> floodClasses() {
		return List.of();
	}

	boolean floods() {
		return !floodClasses().isEmpty();
	}

}
