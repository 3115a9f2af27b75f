package org.baobabspar.supervise;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Decides which incarnation of the endpoint an agent supervises. Reports may arrive after
 * their sender has crashed, and the time of day that numbers the incarnations may be set
 * back, so neither a report nor a later birth proves that an incarnation is alive. An
 * answer to a call does, since one VM runs one endpoint at a time.
 * <p>
 * Example: the agent is attached to the incarnation born at 500, and a call is answered
 * by one born at 400. The latter is the live one, and reports of the former are ignored
 * from then on.
 * <p>
 * Invariant: an incarnation that has answered is replaced only by a report of a later
 * birth, by an answer, or after another endpoint has answered in its place. Used on the
 * control thread only.
 */
final class EndpointIncarnations {

	/**
	 * Sequence of a report that stands for an incarnation which has answered but not yet
	 * reported itself.
	 */
	static final long UNREPORTED_SEQUENCE = Long.MIN_VALUE;

	/** Late reports are rare; a few incarnations suffice. */
	private static final int MAX_REMEMBERED = 16;

	/** What to do with a report. */
	enum ReportUse {

		/** The report is of an incarnation that ended. */
		IGNORE,

		/** The report is of the attached incarnation. */
		UPDATE,

		/** The report is of another incarnation, which is attached. */
		ATTACH

	}

	private final Set<Incarnation> ended = new LinkedHashSet<>();

	/**
	 * Returns what to do with a report.
	 * @param report the report
	 * @param attached report of the attached incarnation, {@code null} for none
	 * @param attachedAnswers whether the attached incarnation has answered, and no other
	 * endpoint since
	 * @return the use of the report
	 */
	ReportUse useOf(EndpointReport report, EndpointReport attached, boolean attachedAnswers) {
		if (attached == null) {
			return ReportUse.ATTACH;
		}
		if (Incarnation.of(report).equals(Incarnation.of(attached))) {
			return ReportUse.UPDATE;
		}
		boolean replaced = this.ended.contains(Incarnation.of(report));
		return (replaced || (attachedAnswers && report.bornMillis() < attached.bornMillis())) ? ReportUse.IGNORE
				: ReportUse.ATTACH;
	}

	/**
	 * Remembers that an incarnation has ended, because another one has answered after it.
	 * @param report report of the incarnation
	 */
	void markEnded(EndpointReport report) {
		this.ended.add(Incarnation.of(report));
		if (this.ended.size() > MAX_REMEMBERED) {
			this.ended.remove(this.ended.iterator().next());
		}
	}

	/**
	 * Returns a report that stands for an incarnation which has answered under the id of
	 * the attached one. Its capacity is unknown until it reports itself.
	 * @param attached report of the attached incarnation
	 * @param bornMillis start of the incarnation that has answered
	 * @return the report
	 */
	EndpointReport answering(EndpointReport attached, long bornMillis) {
		markEnded(attached);
		EndpointReport report = new EndpointReport(attached.endpointId(), bornMillis, UNREPORTED_SEQUENCE,
				attached.service(), attached.capacity(), attached.labels(), false);
		this.ended.remove(Incarnation.of(report));
		return report;
	}

	private record Incarnation(String endpointId, long bornMillis) {

		static Incarnation of(EndpointReport report) {
			return new Incarnation(report.endpointId(), report.bornMillis());
		}

	}

}
