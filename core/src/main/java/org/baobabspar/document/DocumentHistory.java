package org.baobabspar.document;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import org.baobabspar.model.ResultCode;

/**
 * State of one environment's documents, derived by applying the records in log order.
 * Concurrent promotions are resolved by optimistic locking: a promotion takes effect only
 * if it names the version that is in force at its own offset. Of two promotions that
 * replace the same version, every reader therefore rejects the second.
 * <p>
 * Example: {@code 3 publish} (version 4), {@code 4 publish} (version 5),
 * {@code 5 promote 4 replacing 0}, {@code 6 promote 5 replacing 0} leaves version 4 in
 * effect, and the second promotion results in {@link ResultCode#PROMOTION_LOST}.
 * <p>
 * Invariant: the version in force and its promotion offset never decrease, even if
 * records are replayed. Not thread-safe.
 */
public final class DocumentHistory {

	private static final int MAX_PUBLISHED = 64;

	private final String environment;

	private final NavigableMap<Long, EnvironmentDocument> published = new TreeMap<>();

	private final List<AppliedRecord> appliedRecords = new ArrayList<>();

	private DocumentVersion inForce;

	private long nextOffset;

	/**
	 * Creates an empty history.
	 * @param environment name of the environment
	 */
	public DocumentHistory(String environment) {
		this.environment = environment;
	}

	/**
	 * Applies one record. Ignores records of other environments and records that were
	 * applied before.
	 * @param offset log offset of the record
	 * @param record the record
	 * @return {@link ResultCode#COMPLETE} if the record was applied or ignored, otherwise
	 * the reason for its rejection
	 */
	public ResultCode apply(long offset, DocumentRecord record) {
		if (offset < this.nextOffset || !this.environment.equals(record.environment())) {
			return ResultCode.COMPLETE;
		}
		this.nextOffset = offset + 1;
		ResultCode outcome = switch (record.type()) {
			case PUBLISH -> publish(offset, record);
			case PROMOTE -> promote(offset, record);
			case CARRY -> carry(record);
		};
		if (record.type() != RecordType.CARRY) {
			this.appliedRecords.add(new AppliedRecord(offset, record, outcome));
		}
		return outcome;
	}

	private ResultCode publish(long offset, DocumentRecord record) {
		if (record.document() == null) {
			return ResultCode.DOCUMENT_INVALID;
		}
		this.published.put(versionAt(offset), record.document());
		while (this.published.size() > MAX_PUBLISHED) {
			this.published.pollFirstEntry();
		}
		return ResultCode.COMPLETE;
	}

	/**
	 * Returns the version number of a document published at an offset. Version numbers
	 * start at 1, because 0 stands for no version.
	 * @param offset log offset of the publication
	 * @return the version number
	 */
	public static long versionAt(long offset) {
		return offset + 1;
	}

	private ResultCode promote(long offset, DocumentRecord record) {
		EnvironmentDocument document = this.published.get(record.version());
		if (document == null) {
			return ResultCode.VERSION_UNKNOWN;
		}
		if (record.replaces() != version()) {
			return ResultCode.PROMOTION_LOST;
		}
		if (record.version() <= version()) {
			return ResultCode.VERSION_NOT_NEWER;
		}
		this.inForce = new DocumentVersion(record.version(), offset, document);
		return ResultCode.COMPLETE;
	}

	private ResultCode carry(DocumentRecord record) {
		if (record.document() != null) {
			this.published.putIfAbsent(record.version(), record.document());
			adopt(new DocumentVersion(record.version(), record.promotionOffset(), record.document()));
		}
		return ResultCode.COMPLETE;
	}

	/**
	 * Puts a promoted version in force that was received from another process or read
	 * from a {@link RecordType#CARRY} record, unless it is older than the one in force.
	 * @param candidate the version
	 * @return {@code true} if the version is newer than the one in force
	 */
	public boolean adopt(DocumentVersion candidate) {
		if (this.inForce != null && candidate.promotionOffset() <= this.inForce.promotionOffset()) {
			return false;
		}
		this.inForce = candidate;
		return true;
	}

	/**
	 * Returns the version number in force.
	 * @return the version number, 0 for none
	 */
	public long version() {
		return (this.inForce != null) ? this.inForce.version() : 0;
	}

	public Optional<DocumentVersion> inForce() {
		return Optional.ofNullable(this.inForce);
	}

	/**
	 * Returns the newest published version, which is the version on trial.
	 * @return the version, or empty if none is published
	 */
	public Optional<DocumentVersion> trial() {
		return Optional.ofNullable(this.published.lastEntry())
			.map((e) -> new DocumentVersion(e.getKey(), -1, e.getValue()));
	}

	/**
	 * Finds the document of a published version.
	 * @param version the version number
	 * @return the document, or empty if the version was not published or is no longer
	 * retained
	 */
	public Optional<EnvironmentDocument> published(long version) {
		return Optional.ofNullable(this.published.get(version));
	}

	/**
	 * Finds the result of a request.
	 * @param requestId request id of the record
	 * @return the record and its result, or empty if no such record was read
	 */
	public Optional<AppliedRecord> find(String requestId) {
		return this.appliedRecords.stream().filter((a) -> a.record().requestId().equals(requestId)).findFirst();
	}

	public List<AppliedRecord> appliedRecords() {
		return List.copyOf(this.appliedRecords);
	}

	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * A record with the result of applying it. Immutable.
	 *
	 * @param offset log offset of the record
	 * @param record the record
	 * @param outcome {@link ResultCode#COMPLETE} if the record took effect, otherwise the
	 * reason for its rejection
	 */
	public record AppliedRecord(long offset, DocumentRecord record, ResultCode outcome) {
	}

}
