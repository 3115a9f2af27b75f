package org.baobabspar.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.document.DocumentHistory;
import org.baobabspar.document.DocumentRecord;
import org.baobabspar.document.DocumentVersion;
import org.baobabspar.model.ResultCode;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Follows the stream of environment documents with long polls and hands new versions on.
 * Outages of the log are waited out. The version in force is appended again once half of
 * its retention has passed, after a random delay so that one of many entries does it.
 * <p>
 * Invariant: records are applied once each, in the order of the log. The history is used
 * on the control thread only.
 */
final class EnvironmentWatcher {

	/** The stream of environment documents. */
	static final String STREAM = "environment";

	private static final Logger LOG = LogManager.getLogger(EnvironmentWatcher.class);

	private static final long POLL_MILLIS = 20_000;

	private static final long RETRY_MILLIS = 500;

	private static final long CARRY_SPREAD_MILLIS = 20_000;

	private final LogClient log;

	private final Control control;

	private final DocumentHistory history;

	private final Consumer<DocumentVersion> promoted;

	private final Consumer<DocumentVersion> published;

	private boolean reachable = true;

	private long inForceTimeMillis;

	private long carryAtMillis;

	private Disposable polling;

	EnvironmentWatcher(LogClient log, Control control, String environment, Consumer<DocumentVersion> promoted,
			Consumer<DocumentVersion> published) {
		this.log = log;
		this.control = control;
		this.history = new DocumentHistory(environment);
		this.promoted = promoted;
		this.published = published;
	}

	void start() {
		this.polling = Mono.defer(() -> this.log.read(STREAM, this.history.nextOffset(), POLL_MILLIS))
			.publishOn(this.control.scheduler())
			.doOnNext(this::take)
			.onErrorResume((ex) -> outage(ex).then(Mono.delay(Duration.ofMillis(RETRY_MILLIS))).then(Mono.empty()))
			.repeat()
			.subscribe();
	}

	void stop() {
		this.polling.dispose();
	}

	private Mono<Void> outage(Throwable ex) {
		return Mono.<Void>fromRunnable(() -> {
			if (this.reachable) {
				LOG.warn("environment: the log is away: {}.", ex.getMessage());
			}
			this.reachable = false;
		}).subscribeOn(this.control.scheduler());
	}

	private void take(LogPage page) {
		if (!this.reachable) {
			LOG.info("environment: the log is back.");
		}
		this.reachable = true;
		for (LogPage.Record r : page.records()) {
			apply(r);
		}
		carry(page);
	}

	private void apply(LogPage.Record r) {
		try {
			DocumentRecord d = Json.MAPPER.treeToValue(r.value(), DocumentRecord.class);
			long before = this.history.version();
			ResultCode c = this.history.apply(r.offset(), d);
			LOG.info("environment: record {} {} version {} by {}: {}.", r.offset(), d.type(), d.version(), d.operator(),
					c.name());
			if (this.history.version() != before || this.inForceTimeMillis == 0) {
				this.inForceTimeMillis = r.timeMillis();
			}
			this.history.inForce().ifPresent(this.promoted);
			this.history.trial().ifPresent(this.published);
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			LOG.error("environment: record {} is not readable: {}.", r.offset(), ex.getMessage());
		}
	}

	private void carry(LogPage page) {
		Optional<DocumentVersion> v = this.history.inForce();
		long now = System.currentTimeMillis();
		if (v.isEmpty() || now - this.inForceTimeMillis < page.retentionMillis() / 2) {
			this.carryAtMillis = 0;
			return;
		}
		if (this.carryAtMillis == 0) {
			long spread = Math.min(CARRY_SPREAD_MILLIS, page.retentionMillis() / 8 + 1);
			this.carryAtMillis = now + ThreadLocalRandom.current().nextLong(spread);
		}
		else if (now >= this.carryAtMillis) {
			this.inForceTimeMillis = now;
			this.log.append(STREAM, DocumentRecord.carry(v.get()))
				.subscribe((o) -> LOG.info("environment: version {} carried on at {}.", v.get().version(), o),
						(ex) -> LOG.warn("environment: version {} was not carried on.", v.get().version()));
		}
	}

}
