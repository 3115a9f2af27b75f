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
 * Follows the stream of environment documents with long polls and passes new versions to
 * its listeners. Polling is retried for as long as the log is unavailable. The version in
 * force is appended again once half of its retention period has passed, so that it never
 * expires from the log; a random delay makes it likely that only one of many entries does
 * so.
 * <p>
 * Invariant: each record is applied exactly once, in the order of the log. The history is
 * used on the control thread only.
 */
final class EnvironmentWatcher {

	/** The stream of environment documents. */
	static final String STREAM = "environment";

	private static final Logger LOG = LogManager.getLogger(EnvironmentWatcher.class);

	private static final long POLL_WAIT_MILLIS = 20_000;

	private static final long RETRY_DELAY_MILLIS = 500;

	private static final long MAX_CARRY_DELAY_MILLIS = 20_000;

	private final LogClient log;

	private final Control control;

	private final DocumentHistory history;

	private final Consumer<DocumentVersion> onPromoted;

	private final Consumer<DocumentVersion> onPublished;

	private boolean reachable = true;

	private long inForceSinceMillis;

	private long carryAtMillis;

	private Disposable polling;

	EnvironmentWatcher(LogClient log, Control control, String environment, Consumer<DocumentVersion> onPromoted,
			Consumer<DocumentVersion> onPublished) {
		this.log = log;
		this.control = control;
		this.history = new DocumentHistory(environment);
		this.onPromoted = onPromoted;
		this.onPublished = onPublished;
	}

	void start() {
		this.polling = Mono.defer(() -> this.log.read(STREAM, this.history.nextOffset(), POLL_WAIT_MILLIS))
			.publishOn(this.control.scheduler())
			.doOnNext(this::applyPage)
			.onErrorResume(
					(ex) -> logOutage(ex).then(Mono.delay(Duration.ofMillis(RETRY_DELAY_MILLIS))).then(Mono.empty()))
			.repeat()
			.subscribe();
	}

	void stop() {
		this.polling.dispose();
	}

	private Mono<Void> logOutage(Throwable ex) {
		return Mono.<Void>fromRunnable(() -> {
			if (this.reachable) {
				LOG.warn("environment: the log is away: {}.", ex.getMessage());
			}
			this.reachable = false;
		}).subscribeOn(this.control.scheduler());
	}

	private void applyPage(LogPage page) {
		if (!this.reachable) {
			LOG.info("environment: the log is back.");
		}
		this.reachable = true;
		for (LogPage.Record logRecord : page.records()) {
			apply(logRecord);
		}
		carryIfDue(page);
	}

	private void apply(LogPage.Record logRecord) {
		try {
			DocumentRecord documentRecord = Json.MAPPER.treeToValue(logRecord.value(), DocumentRecord.class);
			long previousVersion = this.history.version();
			ResultCode code = this.history.apply(logRecord.offset(), documentRecord);
			LOG.info("environment: record {} {} version {} by {}: {}.", logRecord.offset(), documentRecord.type(),
					documentRecord.version(), documentRecord.operator(), code.name());
			if (this.history.version() != previousVersion || this.inForceSinceMillis == 0) {
				this.inForceSinceMillis = logRecord.timeMillis();
			}
			this.history.inForce().ifPresent(this.onPromoted);
			this.history.trial().ifPresent(this.onPublished);
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			LOG.error("environment: record {} cannot be parsed: {}.", logRecord.offset(), ex.getMessage());
		}
	}

	private void carryIfDue(LogPage page) {
		Optional<DocumentVersion> inForce = this.history.inForce();
		long now = System.currentTimeMillis();
		if (inForce.isEmpty() || now - this.inForceSinceMillis < page.retentionMillis() / 2) {
			this.carryAtMillis = 0;
			return;
		}
		if (this.carryAtMillis == 0) {
			long maxDelayMillis = Math.min(MAX_CARRY_DELAY_MILLIS, page.retentionMillis() / 8 + 1);
			this.carryAtMillis = now + ThreadLocalRandom.current().nextLong(maxDelayMillis);
		}
		else if (now >= this.carryAtMillis) {
			this.inForceSinceMillis = now;
			this.log.append(STREAM, DocumentRecord.carry(inForce.get()))
				.subscribe(
						(offset) -> LOG.info("environment: version {} appended again at offset {}.",
								inForce.get().version(), offset),
						(ex) -> LOG.warn("environment: version {} could not be appended again.",
								inForce.get().version()));
		}
	}

}
