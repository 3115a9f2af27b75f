package org.baobabspar.wire;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Serializes records as MessagePack arrays of their components, and deserializes them.
 * Any record class is supported without annotations or registration. A general-purpose
 * data binding library would do the same, but it would account for a large part of the
 * start-up time of a process and for most of the processing time of a message.
 * <p>
 * Example: {@code LeaseGrant[sentMillis=5, endsSeen=2]} is written as the array
 * {@code [5, 2]}. A reader whose class has a third component uses zero or null for it; a
 * reader whose class has only the first component skips the second.
 * <p>
 * Thread-safe.
 */
final class RecordFormat {

	private final Map<Class<?>, Fields> fieldsByClass = new ConcurrentHashMap<>();

	private Fields fields(Class<?> recordClass) {
		Fields fields = this.fieldsByClass.get(recordClass);
		return (fields != null) ? fields : this.fieldsByClass.computeIfAbsent(recordClass, Fields::new);
	}

	/**
	 * Writes a record.
	 * @param record the record
	 * @param out the packer to write to
	 * @throws IOException if the record cannot be written
	 */
	void write(Object record, MessagePacker out) throws IOException {
		Fields fields = fields(record.getClass());
		out.packArrayHeader(fields.count);
		for (int i = 0; i < fields.count; i++) {
			fields.formats[i].writeValue(this, fields.types[i], fields.get(record, i), out);
		}
	}

	/**
	 * Reads a record.
	 * @param recordClass the class of the record
	 * @param in the unpacker to read from
	 * @return the record
	 * @throws IOException if the record cannot be read or its constructor rejects it
	 */
	Object read(Class<?> recordClass, MessageUnpacker in) throws IOException {
		Fields fields = fields(recordClass);
		int receivedCount = in.unpackArrayHeader();
		Object[] values = new Object[fields.count];
		for (int i = 0; i < fields.count; i++) {
			values[i] = (i < receivedCount) ? fields.formats[i].readValue(this, fields.types[i], in)
					: fields.formats[i].defaultValue();
		}
		if (receivedCount > fields.count) {
			in.skipValue(receivedCount - fields.count);
		}
		return fields.create(values);
	}

	/**
	 * The components of a record class, with their formats and accessors.
	 */
	private static final class Fields {

		private final int count;

		private final Type[] types;

		private final FieldFormat[] formats;

		private final Method[] accessors;

		private final Constructor<?> constructor;

		Fields(Class<?> recordClass) {
			RecordComponent[] components = recordClass.getRecordComponents();
			this.count = components.length;
			this.types = Arrays.stream(components).map(RecordComponent::getGenericType).toArray(Type[]::new);
			this.formats = Arrays.stream(this.types).map(FieldFormat::of).toArray(FieldFormat[]::new);
			this.accessors = Arrays.stream(components).map(RecordComponent::getAccessor).toArray(Method[]::new);
			try {
				this.constructor = recordClass.getDeclaredConstructor(
						Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new));
			}
			catch (NoSuchMethodException ex) {
				throw new IllegalStateException(ex);
			}
		}

		Object get(Object record, int i) {
			try {
				return this.accessors[i].invoke(record);
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalStateException(ex);
			}
		}

		Object create(Object[] values) throws IOException {
			try {
				return this.constructor.newInstance(values);
			}
			catch (InvocationTargetException ex) {
				throw new IOException("invalid values for " + this.constructor.getDeclaringClass().getSimpleName(),
						ex.getCause());
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
