package org.baobabspar.entry;

import org.baobabspar.document.DocumentFormat;
import org.baobabspar.document.DocumentVersion;
import org.baobabspar.message.DocumentNotice;

/**
 * Keeps the newest environment document and propagates it, so that a version that has
 * reached one process reaches all of them without the log. Regardless of the channel by
 * which a version arrives, the higher promotion offset wins, so that a replay cannot
 * revert the environment.
 * <p>
 * Invariant: the promotion offset in force never decreases. Not thread-safe; used on the
 * control thread only.
 */
final class DocumentController {

	private final Blackboard blackboard;

	DocumentController(Blackboard blackboard) {
		this.blackboard = blackboard;
	}

	void handleNotice(DocumentNotice notice) {
		DocumentVersion version = new DocumentVersion(notice.version(), notice.trial() ? -1 : notice.promotionOffset(),
				DocumentFormat.parse(notice.document()));
		if (notice.trial()) {
			acceptTrial(version);
		}
		else {
			acceptPromoted(version);
		}
	}

	void acceptPromoted(DocumentVersion version) {
		long currentOffset = this.blackboard.production().map(DocumentVersion::promotionOffset).orElse(-1L);
		if (version.promotionOffset() > currentOffset) {
			this.blackboard.setProduction(version);
			notifyAll(createNotice(version, false));
		}
	}

	void acceptTrial(DocumentVersion version) {
		long currentVersion = this.blackboard.trial().map(DocumentVersion::version).orElse(-1L);
		if (version.version() > currentVersion) {
			this.blackboard.setTrial(version);
			notifyPeers(createNotice(version, true));
		}
	}

	void sendProduction(String link) {
		this.blackboard.production().ifPresent((v) -> this.blackboard.send(link, createNotice(v, false)));
	}

	void sendAll(String address) {
		sendProduction(address);
		this.blackboard.trial().ifPresent((v) -> this.blackboard.send(address, createNotice(v, true)));
	}

	private static DocumentNotice createNotice(DocumentVersion version, boolean trial) {
		long offset = trial ? version.version() : version.promotionOffset();
		return new DocumentNotice(version.document().environment(), version.version(), offset, trial,
				DocumentFormat.write(version.document()));
	}

	private void notifyAll(DocumentNotice notice) {
		notifyPeers(notice);
		this.blackboard.agents()
			.values()
			.stream()
			.filter((a) -> a.linked() && a.documentOffset() < notice.promotionOffset())
			.forEach((a) -> this.blackboard.send(a.link(), notice));
	}

	private void notifyPeers(DocumentNotice notice) {
		this.blackboard.peers()
			.values()
			.stream()
			.filter(PeerRecord::linked)
			.forEach((p) -> this.blackboard.send(p.address(), notice));
	}

}
