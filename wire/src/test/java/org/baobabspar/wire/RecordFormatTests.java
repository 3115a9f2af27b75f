package org.baobabspar.wire;

import java.io.IOException;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link RecordFormat}.
 */
public class RecordFormatTests {

	private final RecordFormat format = new RecordFormat();

	private byte[] write(Object record) throws IOException {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			this.format.write(record, out);
			return out.toByteArray();
		}
	}

	private <T> T read(Class<T> type, byte[] bytes) throws IOException {
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
			T record = type.cast(this.format.read(type, in));
			Assert.assertFalse(in.hasNext());
			return record;
		}
	}

	/**
	 * Field values of each type.
	 */
	public static class FieldValues extends RecordFormatTests {

		@Test
		void surviveRoundTrip() throws IOException {
			AllTypes a = new AllTypes(Long.MIN_VALUE, -1, 0.1, true, "text", Kind.TWO, List.of("a", "b"),
					List.of(new OneField(3), new OneField(4)), null);
			Assert.assertEquals(super.read(AllTypes.class, super.write(a)), a);
		}

		@Test
		void ofWrongTypeAreRejected() throws IOException {
			byte[] bytes = super.write(new TextField("text"));
			Assert.assertThrows(MessagePackException.class, () -> super.read(OneField.class, bytes));
		}

		@Test
		void thatConstructorRejectsAreRejected() throws IOException {
			byte[] bytes = super.write(new OneField(-1));
			Assert.assertThrows(IOException.class, () -> super.read(NonNegative.class, bytes));
		}

		@Test
		void withUnknownConstantAreRejected() throws IOException {
			byte[] bytes = super.write(new TextField("THREE"));
			Assert.assertThrows(IllegalArgumentException.class, () -> super.read(EnumField.class, bytes));
		}

	}

	/**
	 * Messages from senders of an older or newer version.
	 */
	public static class VersionSkew extends RecordFormatTests {

		@Test
		void fieldsOmittedByOlderSenderHaveDefaults() throws IOException {
			ThreeFields r = super.read(ThreeFields.class, super.write(new OneField(5)));
			Assert.assertEquals(r, new ThreeFields(5, 0, null));
		}

		@Test
		void fieldsAddedByNewerSenderAreSkipped() throws IOException {
			OneField r = super.read(OneField.class, super.write(new ThreeFields(5, 6, "more")));
			Assert.assertEquals(r, new OneField(5));
		}

	}

	enum Kind {

		ONE, TWO

	}

	record OneField(long number) {
	}

	record ThreeFields(long number, int second, String third) {
	}

	record TextField(String text) {
	}

	record EnumField(Kind kind) {
	}

	record NonNegative(long number) {

		NonNegative {
			if (number < 0) {
				throw new IllegalArgumentException("negative");
			}
		}

	}

	record AllTypes(long a, int b, double c, boolean d, String e, Kind f, List<String> g, List<OneField> h, String i) {
	}

}
