package org.baobabspar.document;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import org.baobabspar.model.ResultCode;

/**
 * What the records of one environment, read in the order of the log, amount to. The order
 * of the log decides between operators who race: a promotion counts only if it names the
 * version that is in force at its own offset, so of two that replace the same version the
 * second is void, for every reader alike.
 * <p>
 * Example: {@code 3 publish} (version 4), {@code 4 publish} (version 5),
 * {@code 5 promote 4 in
 * place of 0}, {@code 6 promote 5 in place of 0} leaves version 4 in force and tells the
 * second operator {@link ResultCode#PROMOTION_LOST}.
 * <p>
 * Invariant: the version in force and its promotion offset never go down, whatever is
 * replayed. Used by one thread.
 */
public final class DocumentHistory {

	private static final int MAX_TRIALS = 64;

	private final String environment;

	private final NavigableMap<Long, EnvironmentDocument> published = new TreeMap<>();

	private final List<AppliedRecord> appliedRecords = new ArrayList<>();

	private DocumentVersion inForce;

	private long nextOffset;

	/**
	 * Create an empty history.
	 * @param environment the environment
	 */
	public DocumentHistory(String environment) {
		this.environment = environment;
	}

	/**
	 * Apply one record.
	 * @param offset its offset on the log
	 * @param r the record
	 * @return {@link ResultCode#COMPLETE} if it counts, else why it does not
	 */
	public ResultCode apply(long offset, DocumentRecord r) {
		if (offset < this.nextOffset || !this.environment.equals(r.environment())) {
			return ResultCode.COMPLETE;
		}
		this.nextOffset = offset + 1;
		ResultCode c = switch (r.type()) {
			case PUBLISH -> publish(offset, r);
			case PROMOTE -> promote(offset, r);
			case CARRY -> carry(r);
		};
		if (r.type() != RecordType.CARRY) {
			this.appliedRecords.add(new AppliedRecord(offset, r, c));
		}
		return c;
	}

	private ResultCode publish(long offset, DocumentRecord r) {
		if (r.document() == null) {
			return ResultCode.DOCUMENT_INVALID;
		}
		this.published.put(versionAt(offset), r.document());
		while (this.published.size() > MAX_TRIALS) {
			this.published.pollFirstEntry();
		}
		return ResultCode.COMPLETE;
	}

	/**
	 * Return the version that a publication at an offset makes; 0 stays free for none.
	 * @param offset the offset of the publication
	 * @return the version
	 */
	public static long versionAt(long offset) {
		return offset + 1;
	}

	private ResultCode promote(long offset, DocumentRecord r) {
		EnvironmentDocument d = this.published.get(r.version());
		if (d == null) {
			return ResultCode.VERSION_UNKNOWN;
		}
		if (r.replaces() != version()) {
			return ResultCode.PROMOTION_LOST;
		}
		if (r.version() <= version()) {
			return ResultCode.VERSION_NOT_NEWER;
		}
		this.inForce = new DocumentVersion(r.version(), offset, d);
		return ResultCode.COMPLETE;
	}

	private ResultCode carry(DocumentRecord r) {
		if (r.document() != null) {
			this.published.putIfAbsent(r.version(), r.document());
			adopt(new DocumentVersion(r.version(), r.promotionOffset(), r.document()));
		}
		return ResultCode.COMPLETE;
	}

	/**
	 * Take a promoted version learned from a neighbour or a carried record.
	 * @param v the version
	 * @return {@code true} if it is newer than the one in force
	 */
	public boolean adopt(DocumentVersion v) {
		if (this.inForce != null && v.promotionOffset() <= this.inForce.promotionOffset()) {
			return false;
		}
		this.inForce = v;
		return true;
	}

	/**
	 * Return the version number in force.
	 * @return the version, 0 for none
	 */
	public long version() {
		return (this.inForce != null) ? this.inForce.version() : 0;
	}

	public Optional<DocumentVersion> inForce() {
		return Optional.ofNullable(this.inForce);
	}

	/**
	 * Return the newest published version.
	 * @return the version on trial, or empty
	 */
	public Optional<DocumentVersion> trial() {
		return Optional.ofNullable(this.published.lastEntry())
			.map((e) -> new DocumentVersion(e.getKey(), -1, e.getValue()));
	}

	/**
	 * Find a published version.
	 * @param version the version
	 * @return its document, or empty if it was not published or is no longer kept
	 */
	public Optional<EnvironmentDocument> published(long version) {
		return Optional.ofNullable(this.published.get(version));
	}

	/**
	 * Find what became of a request.
	 * @param requestId the writer's request
	 * @return its line, or empty if no record of it was read
	 */
	public Optional<AppliedRecord> find(String requestId) {
		return this.appliedRecords.stream().filter((l) -> l.record().requestId().equals(requestId)).findFirst();
	}

	public List<AppliedRecord> appliedRecords() {
		return List.copyOf(this.appliedRecords);
	}

	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * One record and what became of it. Immutable.
	 *
	 * @param offset its offset on the log
	 * @param record the record
	 * @param outcome whether it counts
	 */
	public record AppliedRecord(long offset, DocumentRecord record, ResultCode outcome) {
	}

}
