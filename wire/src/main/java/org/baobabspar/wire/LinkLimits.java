package org.baobabspar.wire;

/**
 * Limits on what the other sides of links may send. Immutable and thread-safe.
 *
 * @param maxFrameBytes largest frame
 * @param maxUnprovenLinks largest number of incoming links on which no message has
 * arrived; the oldest one is closed if there are more
 */
public record LinkLimits(int maxFrameBytes, int maxUnprovenLinks) {

	/** For links between processes that nobody else can reach. */
	public static final LinkLimits TRUSTED = new LinkLimits(FrameCodec.MAX_FRAME_BYTES, Integer.MAX_VALUE);

	/** Largest frame on a link on which no message has arrived. */
	static final int MAX_FIRST_FRAME_BYTES = 64 << 10;

	/** Validates the components. */
	public LinkLimits {
		if (maxFrameBytes < MAX_FIRST_FRAME_BYTES || maxFrameBytes > FrameCodec.MAX_FRAME_BYTES
				|| maxUnprovenLinks < 1) {
			throw new IllegalArgumentException(maxFrameBytes + " " + maxUnprovenLinks);
		}
	}

}
