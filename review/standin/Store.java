import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.sun.net.httpserver.HttpExchange;

/**
 * Stand-in of the platform's store: appends and reads of compacted topics, and the newest
 * record of each key. It is always up and forgets nothing. Thread-safe.
 */
final class Store extends HttpStandin {

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	Store(String host) throws IOException {
		super(host, 0);
		startServing();
	}

	/** Writes a record as the operator does. */
	synchronized void put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		append(topic, ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(valueBytes)
			.array());
	}

	private void append(String topic, byte[] record) {
		this.topics.computeIfAbsent(topic, (t) -> new ArrayList<>()).add(record);
		notifyAll();
	}

	@Override
	synchronized Reply answer(HttpExchange exchange, String path, Map<String, String> query, byte[] body)
			throws InterruptedException {
		String topic = query.get("topic");
		List<byte[]> records = this.topics.computeIfAbsent(topic, (t) -> new ArrayList<>());
		return switch (path) {
			case "/log-append" -> append(topic, records, ByteBuffer.wrap(body));
			case "/log-read" -> read(records, Integer.parseInt(query.get("from")),
					Long.parseLong(query.getOrDefault("wait_ms", "0")));
			case "/log-newest" -> newest(records);
			default -> Reply.json(404, "{}");
		};
	}

	private Reply append(String topic, List<byte[]> records, ByteBuffer body) {
		if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
			return Reply.json(403, "{}");
		}
		int first = records.size();
		while (body.remaining() >= Integer.BYTES) {
			byte[] record = new byte[body.getInt()];
			body.get(record);
			append(topic, record);
		}
		return Reply.json(200, "{\"offset\":" + first + ",\"end\":" + records.size() + "}");
	}

	private Reply read(List<byte[]> records, int from, long waitMillis) throws InterruptedException {
		long untilMillis = Record.nowMillis() + waitMillis;
		while (records.size() <= from && Record.nowMillis() < untilMillis) {
			wait(Math.max(1, untilMillis - Record.nowMillis()));
		}
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES).putLong(records.size()).putLong(0).array());
		for (int i = from; i < records.size(); i++) {
			out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(records.get(i).length).array());
			out.writeBytes(records.get(i));
		}
		return Reply.raw(out.toByteArray());
	}

	private Reply newest(List<byte[]> records) {
		Map<String, String> items = new LinkedHashMap<>();
		for (int i = 0; i < records.size(); i++) {
			byte[] record = records.get(i);
			String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
			byte[] value = new byte[record.length - 1 - record[0]];
			System.arraycopy(record, 1 + record[0], value, 0, value.length);
			items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
					+ "\",\"offset\":" + i + "}");
		}
		return Reply.json(200, "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":"
				+ records.size() + "}");
	}

}
