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

	private <T> T read(Class<T> c, byte[] bytes) throws IOException {
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
			T record = c.cast(this.format.read(c, in));
			Assert.assertFalse(in.hasNext());
			return record;
		}
	}

	/**
	 * Values of each type.
	 */
	public static class Values extends RecordFormatTests {

		@Test
		void comeBackTheSame() throws IOException {
			All a = new All(Long.MIN_VALUE, -1, 0.1, true, "text", Kind.TWO, List.of("a", "b"),
					List.of(new Short1(3), new Short1(4)), null);
			Assert.assertEquals(super.read(All.class, super.write(a)), a);
		}

		@Test
		void ofAnotherTypeAreTurnedDown() throws IOException {
			byte[] bytes = super.write(new Other("text"));
			Assert.assertThrows(MessagePackException.class, () -> super.read(Short1.class, bytes));
		}

		@Test
		void thatARecordRefusesAreTurnedDown() throws IOException {
			byte[] bytes = super.write(new Short1(-1));
			Assert.assertThrows(IOException.class, () -> super.read(Checked.class, bytes));
		}

		@Test
		void ofAnUnknownConstantAreTurnedDown() throws IOException {
			byte[] bytes = super.write(new Other("THREE"));
			Assert.assertThrows(IllegalArgumentException.class, () -> super.read(Constant.class, bytes));
		}

	}

	/**
	 * Senders of an older or a newer version.
	 */
	public static class Versions extends RecordFormatTests {

		@Test
		void anOlderSenderLeavesFieldsOut() throws IOException {
			Long3 r = super.read(Long3.class, super.write(new Short1(5)));
			Assert.assertEquals(r, new Long3(5, 0, null));
		}

		@Test
		void aNewerSenderAddsFields() throws IOException {
			Short1 r = super.read(Short1.class, super.write(new Long3(5, 6, "more")));
			Assert.assertEquals(r, new Short1(5));
		}

	}

	enum Kind {

		ONE, TWO

	}

	record Short1(long number) {
	}

	record Long3(long number, int second, String third) {
	}

	record Other(String text) {
	}

	record Constant(Kind kind) {
	}

	record Checked(long number) {

		Checked {
			if (number < 0) {
				throw new IllegalArgumentException("negative");
			}
		}

	}

	record All(long a, int b, double c, boolean d, String e, Kind f, List<String> g, List<Short1> h, String i) {
	}

}
