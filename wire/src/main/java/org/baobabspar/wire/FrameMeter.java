package org.baobabspar.wire;

import java.util.concurrent.atomic.LongAdder;

import org.baobabspar.message.MessageType;

/**
 * Counts frames by message type and direction, and bytes by direction. Thread-safe.
 */
public final class FrameMeter {

	private final LongAdder[] sent = adders();

	private final LongAdder[] received = adders();

	private final LongAdder sentBytes = new LongAdder();

	private final LongAdder receivedBytes = new LongAdder();

	private static LongAdder[] adders() {
		LongAdder[] adders = new LongAdder[MessageType.values().length];
		for (int i = 0; i < adders.length; i++) {
			adders[i] = new LongAdder();
		}
		return adders;
	}

	void sent(MessageType type, int bytes) {
		this.sent[type.ordinal()].increment();
		this.sentBytes.add(bytes);
	}

	void received(MessageType type, int bytes) {
		this.received[type.ordinal()].increment();
		this.receivedBytes.add(bytes);
	}

	public long sent(MessageType type) {
		return this.sent[type.ordinal()].sum();
	}

	public long received(MessageType type) {
		return this.received[type.ordinal()].sum();
	}

	public long sentBytes() {
		return this.sentBytes.sum();
	}

	public long receivedBytes() {
		return this.receivedBytes.sum();
	}

}
