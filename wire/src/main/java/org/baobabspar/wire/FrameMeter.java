package org.baobabspar.wire;

import java.util.concurrent.atomic.LongAdder;

import org.baobabspar.message.MessageType;

/**
 * Counts frames and bytes by type and direction. Safe for any thread.
 */
public final class FrameMeter {

	private final LongAdder[] sent = adders();

	private final LongAdder[] received = adders();

	private final LongAdder sentBytes = new LongAdder();

	private final LongAdder receivedBytes = new LongAdder();

	private static LongAdder[] adders() {
		LongAdder[] a = new LongAdder[MessageType.values().length];
		for (int i = 0; i < a.length; i++) {
			a[i] = new LongAdder();
		}
		return a;
	}

	void sent(MessageType t, int bytes) {
		this.sent[t.ordinal()].increment();
		this.sentBytes.add(bytes);
	}

	void received(MessageType t, int bytes) {
		this.received[t.ordinal()].increment();
		this.receivedBytes.add(bytes);
	}

	public long sent(MessageType t) {
		return this.sent[t.ordinal()].sum();
	}

	public long received(MessageType t) {
		return this.received[t.ordinal()].sum();
	}

	public long sentBytes() {
		return this.sentBytes.sum();
	}

	public long receivedBytes() {
		return this.receivedBytes.sum();
	}

}
