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

	private final EntryContext context;

	DocumentController(EntryContext context) {
		this.context = context;
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
		long currentOffset = this.context.production().map(DocumentVersion::promotionOffset).orElse(-1L);
		if (version.promotionOffset() > currentOffset) {
			this.context.setProduction(version);
			notifyAll(createNotice(version, false));
		}
	}

	void acceptTrial(DocumentVersion version) {
		long currentVersion = this.context.trial().map(DocumentVersion::version).orElse(-1L);
		if (version.version() > currentVersion) {
			this.context.setTrial(version);
			notifyPeers(createNotice(version, true));
		}
	}

	void sendProduction(String link) {
		this.context.production().ifPresent((v) -> this.context.send(link, createNotice(v, false)));
	}

	void sendAll(String address) {
		sendProduction(address);
		this.context.trial().ifPresent((v) -> this.context.send(address, createNotice(v, true)));
	}

	private static DocumentNotice createNotice(DocumentVersion version, boolean trial) {
		long offset = trial ? version.version() : version.promotionOffset();
		return new DocumentNotice(version.document().environment(), version.version(), offset, trial,
				DocumentFormat.write(version.document()));
	}

	private void notifyAll(DocumentNotice notice) {
		notifyPeers(notice);
		this.context.agents()
			.values()
			.stream()
			.filter((a) -> a.linked() && a.documentOffset() < notice.promotionOffset())
			.forEach((a) -> this.context.send(a.link(), notice));
	}

	private void notifyPeers(DocumentNotice notice) {
		this.context.peers()
			.values()
			.stream()
			.filter(PeerRecord::linked)
			.forEach((p) -> this.context.send(p.address(), notice));
	}

}
