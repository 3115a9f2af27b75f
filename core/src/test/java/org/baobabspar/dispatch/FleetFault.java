package org.baobabspar.dispatch;

/**
 * A kind of fault that a simulation injects into one entry, one agent or the link between
 * them. Stateless.
 */
enum FleetFault {

	/** Kills an entry. */
	ENTRY_KILL {
		@Override
		void inject(FaultTarget target) {
			target.entry.kill(target.millis);
		}
	},

	/** Freezes an entry. */
	ENTRY_FREEZE {
		@Override
		void inject(FaultTarget target) {
			target.entry.process.freeze(target.millis);
		}
	},

	/** Kills an agent; its endpoint goes on. */
	AGENT_KILL {
		@Override
		void inject(FaultTarget target) {
			target.agent.kill(target.millis);
		}
	},

	/** Freezes an agent; its endpoint goes on. */
	AGENT_FREEZE {
		@Override
		void inject(FaultTarget target) {
			target.agent.process.freeze(target.millis);
		}
	},

	/** Resets the connection between an entry and an agent. */
	LINK_RESET {
		@Override
		void inject(FaultTarget target) {
			target.link().reset();
		}
	},

	/** Cuts the link between an entry and an agent. */
	LINK_CUT {
		@Override
		void inject(FaultTarget target) {
			target.link().cut(target.millis);
		}
	},

	/** Cuts all links of an entry. */
	ENTRY_CUT {
		@Override
		void inject(FaultTarget target) {
			target.entry.links.forEach((link) -> link.cut(target.millis));
		}
	},

	/** Restarts an endpoint under its old id with a new clock. */
	ENDPOINT_RESTART {
		@Override
		void inject(FaultTarget target) {
			target.agent.endpoint.restart(false, true);
			target.simulation.scheduleAfter(300, target.agent::report);
		}
	},

	/** A third of the calls to an endpoint are carried out seconds late. */
	LATE_CALLS {
		@Override
		void inject(FaultTarget target) {
			target.makeCallsLate(0.3, 0, 0);
		}
	},

	/** Cuts an agent off from all entries. */
	AGENT_CUT {
		@Override
		void inject(FaultTarget target) {
			target.agent.links().forEach((link) -> link.cut(target.millis));
		}
	},

	/** Sets the time of day of one process. */
	CLOCK_STEP {
		@Override
		void inject(FaultTarget target) {
			target.process().stepTimeOfDay(target.stepMillis());
		}
	},

	/** Sets the time of day of one process several times within a second or two. */
	CLOCK_STEP_SERIES {
		@Override
		void inject(FaultTarget target) {
			SimulatedProcess process = target.process();
			long direction = target.simulation.detailRandom.nextBoolean() ? 1 : -1;
			long count = target.between(2, 6);
			long delayMillis = 0;
			for (int i = 0; i < count; i++) {
				long stepMillis = direction * target.between(100, 500);
				target.simulation.scheduleAfter(delayMillis, () -> process.stepTimeOfDay(stepMillis));
				delayMillis += target.between(20, 400);
			}
		}
	},

	/** Sets the time of day of one process, which is lost to the others soon after. */
	CLOCK_STEP_THEN_LOSS {
		@Override
		void inject(FaultTarget target) {
			boolean ofEntry = target.simulation.detailRandom.nextBoolean();
			SimulatedProcess process = ofEntry ? target.entry.process : target.agent.process;
			process.stepTimeOfDay(target.stepMillis());
			FleetFault loss = (ofEntry ? ENTRY_LOSSES : AGENT_LOSSES)[(int) target.between(0, ENTRY_LOSSES.length - 1)];
			target.simulation.scheduleAfter(target.between(0, 2_000), () -> loss.inject(target));
		}
	},

	/**
	 * Sets the time of day of an entry several times while an agent is silent, each time
	 * by less than what counts as a stall.
	 */
	ENTRY_CLOCK_STEPS_DURING_SILENCE {
		@Override
		void inject(FaultTarget target) {
			if (target.simulation.detailRandom.nextBoolean()) {
				target.agent.process.freeze(target.millis);
			}
			else {
				AGENT_CUT.inject(target);
			}
			long delayMillis = 0;
			for (long count = target.between(1, 4); count > 0; count--) {
				delayMillis += target.between(30, 400);
				long stepMillis = target.between(100, 390);
				target.simulation.scheduleAfter(delayMillis, () -> target.entry.process.stepTimeOfDay(stepMillis));
			}
		}
	},

	/**
	 * Sets the time of day of an agent ahead just before it is killed or frozen, after it
	 * was cut off. Its last renewals count the step as elapsed time; the step is too
	 * short for the endpoint to seem silent.
	 */
	AGENT_CLOCK_STEP_BEFORE_LOSS {
		@Override
		void inject(FaultTarget target) {
			target.agent.links().forEach((link) -> link.cut(target.millis + 1_500));
			long stepDelayMillis = target.between(200, 345);
			long stepMillis = target.between(250, 550);
			target.simulation.scheduleAfter(stepDelayMillis, () -> target.agent.process.stepTimeOfDay(stepMillis));
			FleetFault loss = target.simulation.detailRandom.nextBoolean() ? AGENT_KILL : AGENT_FREEZE;
			target.simulation.scheduleAfter(stepDelayMillis + target.between(1, 40), () -> loss.inject(target));
		}
	},

	/** Suspends one process, whose monotonic clock doesn't count this time. */
	SUSPENSION {
		@Override
		void inject(FaultTarget target) {
			target.process().suspend(target.millis);
		}
	},

	/** Calls to an endpoint are carried out late, or without a response. */
	LATE_AND_LOST_CALLS {
		@Override
		void inject(FaultTarget target) {
			target.makeCallsLate(target.share(), 0, target.share());
		}
	},

	/** The stops that are sent to an endpoint are carried out late. */
	LATE_STOPS {
		@Override
		void inject(FaultTarget target) {
			target.makeCallsLate(0, 2 * target.share(), 0);
		}
	},

	/**
	 * An endpoint is killed and born again under its old id while calls to it are late.
	 * Its clock goes on.
	 */
	ENDPOINT_REBIRTH {
		@Override
		void inject(FaultTarget target) {
			target.makeCallsLate(target.share(), 0, 0);
			target.simulation.scheduleAfter(target.between(50, 1_500), () -> target.restartEndpoint(false, false));
		}
	},

	/**
	 * An endpoint is killed and born again under its old id while calls to it are late.
	 * Its clock begins at 0 again, so that deadlines of late calls seem far ahead.
	 */
	ENDPOINT_REBIRTH_WITH_NEW_CLOCK {
		@Override
		void inject(FaultTarget target) {
			target.makeCallsLate(target.share(), 0, 0);
			target.simulation.scheduleAfter(target.between(50, 1_500), () -> target.restartEndpoint(false, true));
		}
	},

	/** An endpoint is killed and replaced by one with another id while calls are late. */
	ENDPOINT_REPLACEMENT {
		@Override
		void inject(FaultTarget target) {
			target.makeCallsLate(target.share(), 0, 0);
			target.simulation.scheduleAfter(target.between(50, 1_500), () -> target.restartEndpoint(true, true));
		}
	},

	/** Cuts one direction of the link between an entry and an agent. */
	ONE_WAY_LINK_CUT {
		@Override
		void inject(FaultTarget target) {
			if (target.simulation.detailRandom.nextBoolean()) {
				target.link().cutToAgent(target.millis);
			}
			else {
				target.link().cutToEntry(target.millis);
			}
		}
	},

	/** Cuts one direction of all links of an entry. */
	ONE_WAY_ENTRY_CUT {
		@Override
		void inject(FaultTarget target) {
			boolean toAgents = target.simulation.detailRandom.nextBoolean();
			for (SimulatedLink link : target.entry.links) {
				if (toAgents) {
					link.cutToAgent(target.millis);
				}
				else {
					link.cutToEntry(target.millis);
				}
			}
		}
	},

	/** Cuts one direction of the path between an entry and its callers. */
	ONE_WAY_CALLER_CUT {
		@Override
		void inject(FaultTarget target) {
			boolean fromCallers = target.simulation.detailRandom.nextBoolean();
			target.entry.cutCallers(fromCallers ? target.millis : 0, fromCallers ? 0 : target.millis);
		}
	},

	/** Resets the connections of all callers of an entry. */
	CALLER_RESET {
		@Override
		void inject(FaultTarget target) {
			target.entry.resetCallers();
		}
	},

	/** Freezes a process between a decision and the transmission of its result. */
	STALLED_TRANSMISSION {
		@Override
		void inject(FaultTarget target) {
			target.process().freezeAtNextTransmission(target.between(100, 2_500));
		}
	},

	/** Calls to an endpoint are late, and its runs lose their entry or their caller. */
	LATE_CALLS_THEN_LOSS {
		@Override
		void inject(FaultTarget target) {
			target.makeCallsLate(target.share(), 0, target.share() / 2);
			FleetFault loss = LOSSES_OF_OWNERS[(int) target.between(0, LOSSES_OF_OWNERS.length - 1)];
			target.simulation.scheduleAfter(target.between(0, 1_500), () -> loss.inject(target));
		}
	},

	/** Most stops are carried out late, and runs lose their entry or their caller. */
	LATE_STOPS_THEN_LOSS {
		@Override
		void inject(FaultTarget target) {
			target.makeCallsLate(0, 2 * target.share(), 0);
			FleetFault loss = LOSSES_OF_OWNERS[(int) target.between(0, LOSSES_OF_OWNERS.length - 1)];
			target.simulation.scheduleAfter(target.between(0, 1_500), () -> loss.inject(target));
		}
	},

	/** Suspends one process, which is lost to the others just before or after. */
	SUSPENSION_WITH_LOSS {
		@Override
		void inject(FaultTarget target) {
			FleetFault loss = LOSSES_OF_OWNERS[(int) target.between(0, LOSSES_OF_OWNERS.length - 1)];
			target.simulation.scheduleAfter(target.between(0, 600), () -> loss.inject(target));
			SimulatedProcess process = target.process();
			long suspendedMillis = target.between(100, 1_500);
			target.simulation.scheduleAfter(target.between(0, 600), () -> process.suspend(suspendedMillis));
		}
	},

	/**
	 * Suspends an agent, whose endpoint is born again meanwhile under its old id and with
	 * a new clock.
	 */
	SUSPENSION_WITH_REBIRTH {
		@Override
		void inject(FaultTarget target) {
			long suspendedMillis = target.between(1_200, 2_500);
			target.agent.process.suspend(suspendedMillis);
			target.simulation.scheduleAfter(target.between(0, suspendedMillis - 600),
					() -> target.restartEndpoint(false, true));
		}
	},

	/** Suspends one process many times, each too shortly to be noticed. */
	SHORT_SUSPENSIONS {
		@Override
		void inject(FaultTarget target) {
			SimulatedProcess process = target.process();
			for (long delayMillis = 0; delayMillis < target.millis; delayMillis += target.between(100, 300)) {
				long suspendedMillis = target.between(20, 99);
				target.simulation.scheduleAfter(delayMillis, () -> process.suspend(suspendedMillis));
			}
		}
	},

	/**
	 * Freezes a process before a transmission, and its runs lose their entry or caller.
	 */
	STALLED_TRANSMISSION_WITH_LOSS {
		@Override
		void inject(FaultTarget target) {
			FleetFault loss = LOSSES_OF_OWNERS[(int) target.between(0, LOSSES_OF_OWNERS.length - 1)];
			target.simulation.scheduleAfter(target.between(0, 600), () -> loss.inject(target));
			SimulatedProcess process = target.process();
			long frozenMillis = target.between(100, 1_500);
			target.simulation.scheduleAfter(target.between(0, 600),
					() -> process.freezeAtNextTransmission(frozenMillis));
		}
	},

	/**
	 * Freezes or suspends an entry while requests arrive, and delays the ends of their
	 * connections until after it has resumed, so that it does not see that callers leave.
	 */
	ENTRY_PAUSE_WITH_LATE_CLOSES {
		@Override
		void inject(FaultTarget target) {
			long pauseMillis = target.between(500, 5_000);
			target.entry.delayCloses(pauseMillis + target.between(0, 3_000));
			if (target.simulation.detailRandom.nextBoolean()) {
				target.entry.process.freeze(pauseMillis);
			}
			else {
				target.entry.process.suspend(pauseMillis);
			}
		}
	};

	private static final FleetFault[] ENTRY_LOSSES = { ENTRY_KILL, ENTRY_FREEZE, LINK_CUT, ENTRY_CUT };

	private static final FleetFault[] AGENT_LOSSES = { AGENT_KILL, AGENT_FREEZE, LINK_CUT, AGENT_CUT };

	/** Faults after which a run has lost its entry or its caller. */
	private static final FleetFault[] LOSSES_OF_OWNERS = { ENTRY_KILL, ENTRY_FREEZE, LINK_CUT, ENTRY_CUT, AGENT_CUT,
			CALLER_RESET };

	/**
	 * Injects the fault.
	 * @param target where to inject it and for how long
	 */
	abstract void inject(FaultTarget target);

}
