package org.baobabspar.wire;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The MessagePack encoding of a record field, chosen by the type of the field. Immutable
 * and thread-safe.
 */
enum FieldFormat {

	/** A 64-bit integer. */
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

	/** A 32-bit integer. */
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

	/** A double-precision floating-point number. */
	DOUBLE(0.0) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			out.packDouble((Double) value);
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			double value = in.unpackDouble();
			if (!Double.isFinite(value)) {
				throw new IOException("number is not finite");
			}
			return value;
		}

	},

	/** A boolean. */
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

	/** A string. */
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

	/** A byte array. */
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
				throw new IOException(
						"byte array of " + length + " bytes exceeds the limit of " + FrameCodec.MAX_FRAME_BYTES);
			}
			return in.readPayload(length);
		}

	},

	/** An enum constant, encoded by name. */
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

	/** A list whose elements have one type. */
	LIST(null) {

		@Override
		void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException {
			List<?> values = (List<?>) value;
			Type elementType = elementType(type);
			FieldFormat format = of(elementType);
			out.packArrayHeader(values.size());
			for (Object item : values) {
				format.writeValue(records, elementType, item, out);
			}
		}

		@Override
		Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException {
			Type elementType = elementType(type);
			FieldFormat format = of(elementType);
			int size = in.unpackArrayHeader();
			List<Object> values = new ArrayList<>();
			for (int i = 0; i < size; i++) {
				values.add(format.readValue(records, elementType, in));
			}
			return values;
		}

		private static Type elementType(Type type) {
			return ((ParameterizedType) type).getActualTypeArguments()[0];
		}

	},

	/** A nested record. */
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

	/** The value of a field that the sender omitted or sent as nil. */
	private final Object defaultValue;

	FieldFormat(Object defaultValue) {
		this.defaultValue = defaultValue;
	}

	Object defaultValue() {
		return this.defaultValue;
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
		return in.tryUnpackNil() ? this.defaultValue : read(records, type, in);
	}

	abstract void write(RecordFormat records, Type type, Object value, MessagePacker out) throws IOException;

	abstract Object read(RecordFormat records, Type type, MessageUnpacker in) throws IOException;

	/**
	 * Returns the format of a type.
	 * @param type the type of a field, or of the elements of a list
	 * @return the format
	 */
	static FieldFormat of(Type type) {
		if (type instanceof ParameterizedType) {
			return LIST;
		}
		Class<?> rawType = (Class<?>) type;
		if (rawType.isRecord()) {
			return RECORD;
		}
		if (rawType.isEnum()) {
			return CONSTANT;
		}
		if (rawType == String.class) {
			return TEXT;
		}
		if (rawType == byte[].class) {
			return BYTES;
		}
		if (rawType == long.class || rawType == Long.class) {
			return LONG;
		}
		if (rawType == int.class || rawType == Integer.class) {
			return INT;
		}
		if (rawType == double.class) {
			return DOUBLE;
		}
		if (rawType == boolean.class) {
			return BOOLEAN;
		}
		throw new IllegalArgumentException("unsupported field type " + type);
	}

}
