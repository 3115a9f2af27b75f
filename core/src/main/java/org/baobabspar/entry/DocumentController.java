package org.baobabspar.entry;

import org.baobabspar.document.DocumentFormat;
import org.baobabspar.document.DocumentVersion;
import org.baobabspar.message.DocumentNotice;

/**
 * Keeps the newest environment document and passes it on, so that a version that has
 * reached one process reaches all without the log. Whatever the way it comes by, the
 * higher promotion offset wins, so that no replay takes the environment back.
 * <p>
 * Invariant: the promotion offset in force never goes down. Used on the control thread
 * only.
 */
final class DocumentController {

	private final Blackboard board;

	DocumentController(Blackboard board) {
		this.board = board;
	}

	void notice(DocumentNotice n) {
		DocumentVersion v = new DocumentVersion(n.version(), n.trial() ? -1 : n.promotionOffset(),
				DocumentFormat.parse(n.document()));
		if (n.trial()) {
			trial(v);
		}
		else {
			promoted(v);
		}
	}

	void promoted(DocumentVersion v) {
		long held = this.board.production().map(DocumentVersion::promotionOffset).orElse(-1L);
		if (v.promotionOffset() > held) {
			this.board.production(v);
			tellAll(message(v, false));
		}
	}

	void trial(DocumentVersion v) {
		long held = this.board.trial().map(DocumentVersion::version).orElse(-1L);
		if (v.version() > held) {
			this.board.trial(v);
			tellPeers(message(v, true));
		}
	}

	void greet(String link) {
		this.board.production().ifPresent((v) -> this.board.send(link, message(v, false)));
	}

	void greetPeer(String address) {
		greet(address);
		this.board.trial().ifPresent((v) -> this.board.send(address, message(v, true)));
	}

	private static DocumentNotice message(DocumentVersion v, boolean trial) {
		long offset = trial ? v.version() : v.promotionOffset();
		return new DocumentNotice(v.document().environment(), v.version(), offset, trial,
				DocumentFormat.write(v.document()));
	}

	private void tellAll(DocumentNotice n) {
		tellPeers(n);
		this.board.agents()
			.values()
			.stream()
			.filter((a) -> a.linked() && a.documentOffset() < n.promotionOffset())
			.forEach((a) -> this.board.send(a.link(), n));
	}

	private void tellPeers(DocumentNotice n) {
		this.board.peers().values().stream().filter(PeerRecord::linked).forEach((p) -> this.board.send(p.address(), n));
	}

}
