package org.baobabspar.wire;

import java.io.IOException;

import org.baobabspar.message.Message;
import org.baobabspar.message.MessageType;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Turns messages into the content of frames and back. The content is a version byte, a
 * type byte and the message as a MessagePack array of its fields in their order; new
 * fields are added at the end, and readers skip what they do not know.
 * <p>
 * Safe for any thread.
 */
public final class FrameCodec {

	/** Version of the protocol between the processes. */
	public static final byte VERSION = 1;

	/** Largest content of a frame, in bytes. */
	public static final int MAX_FRAME_BYTES = 96 << 20;

	private static final int HEADER_BYTES = 2;

	/** Most messages fit; a packer takes more when it needs it. */
	private static final int BUFFER_BYTES = 512;

	private final MessagePack.PackerConfig packers = new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

	private final RecordFormat records = new RecordFormat();

	/**
	 * Write a message.
	 * @param m the message
	 * @return the content of its frame
	 * @throws CodedException with {@link ResultCode#FRAME_TOO_LARGE} or
	 * {@link ResultCode#FRAME_BODY}
	 */
	public byte[] encode(Message m) {
		MessageType t = MessageType.of(m);
		byte[] frame = write(t, m);
		if (frame.length > MAX_FRAME_BYTES) {
			throw new CodedException(ResultCode.FRAME_TOO_LARGE, t + ": " + frame.length + " bytes");
		}
		return frame;
	}

	private byte[] write(MessageType t, Message m) {
		try (MessageBufferPacker out = this.packers.newBufferPacker()) {
			out.writePayload(new byte[] { VERSION, (byte) t.number() });
			this.records.write(m, out);
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.FRAME_BODY, t + " cannot be written", ex);
		}
	}

	/**
	 * Read a message.
	 * @param frame the content of a frame
	 * @return the message
	 * @throws CodedException with {@link ResultCode#FRAME_VERSION},
	 * {@link ResultCode#FRAME_TYPE} or {@link ResultCode#FRAME_BODY}
	 */
	public Message decode(byte[] frame) {
		if (frame.length < HEADER_BYTES) {
			throw new CodedException(ResultCode.FRAME_BODY, "frame of " + frame.length + " bytes");
		}
		if (frame[0] != VERSION) {
			throw new CodedException(ResultCode.FRAME_VERSION, "version " + frame[0] + ", this is " + VERSION);
		}
		MessageType t = MessageType.of(frame[1])
			.orElseThrow(() -> new CodedException(ResultCode.FRAME_TYPE, "type " + frame[1]));
		return read(t, frame);
	}

	private Message read(MessageType t, byte[] frame) {
		int length = frame.length - HEADER_BYTES;
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame, HEADER_BYTES, length)) {
			return (Message) this.records.read(t.messageClass(), in);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new CodedException(ResultCode.FRAME_BODY, t + " is not readable", ex);
		}
	}

}
