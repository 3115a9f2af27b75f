package org.baobabspar.wire;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import org.baobabspar.message.Message;
import org.baobabspar.message.MessageType;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

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

	private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());

	private final Map<MessageType, ObjectReader> readers = new ConcurrentHashMap<>();

	private final Map<MessageType, ObjectWriter> writers = new ConcurrentHashMap<>();

	/**
	 * Create a codec. Types are prepared at their first message, since no process speaks
	 * all of them.
	 */
	public FrameCodec() {
		this.mapper.setAnnotationIntrospector(new JsonArrayFormat());
		this.mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
	}

	private ObjectReader reader(MessageType t) {
		return this.readers.computeIfAbsent(t, (k) -> this.mapper.readerFor(k.messageClass()));
	}

	private ObjectWriter writer(MessageType t) {
		return this.writers.computeIfAbsent(t, (k) -> this.mapper.writerFor(k.messageClass()));
	}

	/**
	 * Write a message.
	 * @param m the message
	 * @return the content of its frame
	 * @throws CodedException with {@link ResultCode#FRAME_TOO_LARGE} or
	 * {@link ResultCode#FRAME_BODY}
	 */
	public byte[] encode(Message m) {
		MessageType t = MessageType.of(m);
		byte[] body = write(t, m);
		if (body.length + HEADER_BYTES > MAX_FRAME_BYTES) {
			throw new CodedException(ResultCode.FRAME_TOO_LARGE, t + ": " + body.length + " bytes");
		}
		byte[] frame = new byte[HEADER_BYTES + body.length];
		frame[0] = VERSION;
		frame[1] = (byte) t.number();
		System.arraycopy(body, 0, frame, HEADER_BYTES, body.length);
		return frame;
	}

	private byte[] write(MessageType t, Message m) {
		try {
			return writer(t).writeValueAsBytes(m);
		}
		catch (JsonProcessingException ex) {
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
		try {
			Message m = reader(t).readValue(frame, HEADER_BYTES, frame.length - HEADER_BYTES);
			if (m == null) {
				throw new CodedException(ResultCode.FRAME_BODY, t + " is empty");
			}
			return m;
		}
		catch (IOException | MessagePackException ex) {
			throw new CodedException(ResultCode.FRAME_BODY, t + " is not readable", ex);
		}
	}

}
