package org.baobabspar.wire;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * How a field of a record is written. Immutable and safe for any thread.
 */
enum FieldFormat {

	/** A whole number of 64 bits. */
	LONG(0L) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			out.packLong((Long) value);
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			return in.unpackLong();
		}

	},

	/** A whole number of 32 bits. */
	INT(0) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			out.packInt((Integer) value);
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			return in.unpackInt();
		}

	},

	/** A number with a fraction. */
	DOUBLE(0.0) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			out.packDouble((Double) value);
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			return in.unpackDouble();
		}

	},

	/** True or false. */
	BOOLEAN(false) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			out.packBoolean((Boolean) value);
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			return in.unpackBoolean();
		}

	},

	/** Text. */
	TEXT(null) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			out.packString((String) value);
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			return in.unpackString();
		}

	},

	/** Bytes. */
	BYTES(null) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			byte[] bytes = (byte[]) value;
			out.packBinaryHeader(bytes.length).writePayload(bytes);
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			int length = in.unpackBinaryHeader();
			if (length > FrameCodec.MAX_FRAME_BYTES) {
				throw new IOException("field of " + length + " bytes");
			}
			return in.readPayload(length);
		}

	},

	/** A constant of an enum, by its name. */
	CONSTANT(null) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			out.packString(((Enum<?>) value).name());
		}

		@Override
		@SuppressWarnings({ "unchecked", "rawtypes" })
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			return Enum.valueOf((Class<? extends Enum>) type, in.unpackString());
		}

	},

	/** A list of values of one type. */
	LIST(null) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			List<?> values = (List<?>) value;
			Type element = element(type);
			FieldFormat format = of(element);
			out.packArrayHeader(values.size());
			for (Object v : values) {
				format.writeValue(records, element, v, out);
			}
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			Type element = element(type);
			FieldFormat format = of(element);
			int size = in.unpackArrayHeader();
			List<Object> values = new ArrayList<>();
			for (int i = 0; i < size; i++) {
				values.add(format.readValue(records, element, in));
			}
			return values;
		}

		private static Type element(Type type) {
			return ((ParameterizedType) type).getActualTypeArguments()[0];
		}

	},

	/** A record. */
	RECORD(null) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			records.write(value, out);
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			return records.read((Class<?>) type, in);
		}

	};

	/** What a field has that the sender does not know. */
	private final Object missing;

	FieldFormat(Object missing) {
		this.missing = missing;
	}

	Object missing() {
		return this.missing;
	}

	void writeValue(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
		if (value == null) {
			out.packNil();
		}
		else {
			write(records, type, value, out);
		}
	}

	Object readValue(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
		return in.tryUnpackNil() ? this.missing : read(records, type, in);
	}

	abstract void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException;

	abstract Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException;

	/**
	 * Find the format of a type.
	 * @param type type of a field, or of the values of a list
	 * @return its format
	 */
	static FieldFormat of(Type type) {
		if (type instanceof ParameterizedType) {
			return LIST;
		}
		Class<?> c = (Class<?>) type;
		if (c.isRecord()) {
			return RECORD;
		}
		if (c.isEnum()) {
			return CONSTANT;
		}
		if (c == String.class) {
			return TEXT;
		}
		if (c == byte[].class) {
			return BYTES;
		}
		if (c == long.class || c == Long.class) {
			return LONG;
		}
		if (c == int.class || c == Integer.class) {
			return INT;
		}
		if (c == double.class) {
			return DOUBLE;
		}
		if (c == boolean.class) {
			return BOOLEAN;
		}
		throw new IllegalArgumentException("no format for " + type);
	}

}
