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
 * Writes records as MessagePack arrays of their fields, and reads them back. Records of
 * any class work without annotations or registration; a general data binding does the
 * same, but takes a good part of a process's start and most of the time of a message.
 * <p>
 * Example: {@code LeaseGrant[sentMillis=5, endsSeen=2]} is the array {@code [5, 2]}. A
 * reader that knows a third field takes zero, or null, for it; one that knows only the
 * first skips the other.
 * <p>
 * Safe for any thread.
 */
final class RecordFormat {

	private final Map<Class<?>, Fields> known = new ConcurrentHashMap<>();

	private Fields fields(Class<?> c) {
		Fields f = this.known.get(c);
		return (f != null) ? f : this.known.computeIfAbsent(c, Fields::new);
	}

	/**
	 * Write a record.
	 * @param record the record
	 * @param out takes it
	 * @throws IOException if it cannot be written
	 */
	void write(Object record, MessagePacker out) throws IOException {
		Fields f = fields(record.getClass());
		out.packArrayHeader(f.count);
		for (int i = 0; i < f.count; i++) {
			f.formats[i].writeValue(this, f.types[i], f.get(record, i), out);
		}
	}

	/**
	 * Read a record.
	 * @param c its class
	 * @param in where it comes from
	 * @return the record
	 * @throws IOException if it cannot be read, or is not valid
	 */
	Object read(Class<?> c, MessageUnpacker in) throws IOException {
		Fields f = fields(c);
		int sent = in.unpackArrayHeader();
		Object[] values = new Object[f.count];
		for (int i = 0; i < f.count; i++) {
			values[i] = (i < sent) ? f.formats[i].readValue(this, f.types[i], in) : f.formats[i].missing();
		}
		if (sent > f.count) {
			in.skipValue(sent - f.count);
		}
		return f.create(values);
	}

	/**
	 * The fields of a class of records.
	 */
	private static final class Fields {

		private final int count;

		private final Type[] types;

		private final FieldFormat[] formats;

		private final Method[] accessors;

		private final Constructor<?> constructor;

		Fields(Class<?> c) {
			RecordComponent[] components = c.getRecordComponents();
			this.count = components.length;
			this.types = Arrays.stream(components).map(RecordComponent::getGenericType).toArray(Type[]::new);
			this.formats = Arrays.stream(this.types).map(FieldFormat::of).toArray(FieldFormat[]::new);
			this.accessors = Arrays.stream(components).map(RecordComponent::getAccessor).toArray(Method[]::new);
			try {
				this.constructor = c.getDeclaredConstructor(
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
				throw new IOException("invalid " + this.constructor.getDeclaringClass().getSimpleName(), ex.getCause());
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
