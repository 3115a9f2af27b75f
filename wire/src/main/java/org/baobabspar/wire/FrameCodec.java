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
 * Encodes messages as the content of frames and decodes them. The content consists of a
 * version byte, a type byte and the message as a MessagePack array of its fields in
 * declaration order. New fields are appended at the end, and readers skip fields that
 * they do not know.
 * <p>
 * Thread-safe.
 */
public final class FrameCodec {

	/** Version of the protocol between processes. */
	public static final byte VERSION = 1;

	/** Maximum size of the content of a frame. */
	public static final int MAX_FRAME_BYTES = 96 << 20;

	private static final int HEADER_BYTES = 2;

	/**
	 * Initial buffer size, which fits most messages; a packer grows its buffer on demand.
	 */
	private static final int BUFFER_BYTES = 512;

	private final MessagePack.PackerConfig packers = new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

	private final RecordFormat records = new RecordFormat();

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the content of the frame
	 * @throws CodedException with {@link ResultCode#FRAME_TOO_LARGE} or
	 * {@link ResultCode#FRAME_BODY}
	 */
	public byte[] encode(Message message) {
		MessageType type = MessageType.of(message);
		byte[] frame = encode(type, message);
		if (frame.length > MAX_FRAME_BYTES) {
			throw new CodedException(ResultCode.FRAME_TOO_LARGE,
					type + " of " + frame.length + " bytes exceeds the limit of " + MAX_FRAME_BYTES);
		}
		return frame;
	}

	private byte[] encode(MessageType type, Message message) {
		try (MessageBufferPacker out = this.packers.newBufferPacker()) {
			out.writePayload(new byte[] { VERSION, (byte) type.number() });
			this.records.write(message, out);
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.FRAME_BODY, type + " cannot be encoded", ex);
		}
	}

	/**
	 * Decodes a message.
	 * @param frame the content of a frame
	 * @return the message
	 * @throws CodedException with {@link ResultCode#FRAME_VERSION},
	 * {@link ResultCode#FRAME_TYPE} or {@link ResultCode#FRAME_BODY}
	 */
	public Message decode(byte[] frame) {
		if (frame.length < HEADER_BYTES) {
			throw new CodedException(ResultCode.FRAME_BODY,
					"frame of " + frame.length + " bytes has no complete header");
		}
		if (frame[0] != VERSION) {
			throw new CodedException(ResultCode.FRAME_VERSION,
					"unsupported protocol version " + frame[0] + ", expected " + VERSION);
		}
		MessageType type = MessageType.of(frame[1])
			.orElseThrow(() -> new CodedException(ResultCode.FRAME_TYPE, "unknown message type " + frame[1]));
		return decode(type, frame);
	}

	private Message decode(MessageType type, byte[] frame) {
		int length = frame.length - HEADER_BYTES;
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame, HEADER_BYTES, length)) {
			return (Message) this.records.read(type.messageClass(), in);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new CodedException(ResultCode.FRAME_BODY, type + " cannot be decoded", ex);
		}
	}

}
