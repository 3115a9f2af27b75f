import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's metadata store, as far as the programs use it: topics with one partition
 * that keep the newest record of each key. Thread-safe.
 */
final class Store {

	private final Map<String, List<byte[]>> topics = new LinkedHashMap<>();

	private final HttpServer server;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/** Writes a record as the operator does. */
	void put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
		append(topic, record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes).array());
	}

	private synchronized int append(String topic, byte[] record) {
		List<byte[]> records = records(topic);
		records.add(record);
		notifyAll();
		return records.size();
	}

	private List<byte[]> records(String topic) {
		return this.topics.computeIfAbsent(topic, (t) -> new ArrayList<>());
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			Map<String, String> query = query(exchange);
			String topic = query.get("topic");
			switch (exchange.getRequestURI().getPath()) {
				case "/log-append" -> {
					ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
					int end = 0;
					while (body.remaining() >= 4) {
						byte[] record = new byte[body.getInt()];
						body.get(record);
						end = append(topic, record);
					}
					answer(exchange, 200, ("{\"offset\":" + (end - 1) + ",\"end\":" + end + "}").getBytes());
				}
				case "/log-read" -> answer(exchange, 200, read(topic, Integer.parseInt(query.get("from")),
						Long.parseLong(query.getOrDefault("wait_ms", "0"))));
				case "/log-newest" -> answer(exchange, 200, newest(topic).getBytes(StandardCharsets.UTF_8));
				default -> answer(exchange, 404, new byte[0]);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> values = new LinkedHashMap<>();
		String query = exchange.getRequestURI().getQuery();
		for (String pair : ((query != null) ? query : "").split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				values.put(pair.substring(0, equals), pair.substring(equals + 1));
			}
		}
		return values;
	}

	private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		if (body.length > 0) {
			try (OutputStream out = exchange.getResponseBody()) {
				out.write(body);
			}
		}
	}

	private synchronized byte[] read(String topic, int from, long waitMillis) throws InterruptedException, IOException {
		long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
		while (records(topic).size() <= from && System.nanoTime() < untilNanos) {
			wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
		}
		List<byte[]> records = records(topic);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(records.size());
		out.writeLong(0);
		for (byte[] record : records.subList(Math.min(from, records.size()), records.size())) {
			out.writeInt(record.length);
			out.write(record);
		}
		return bytes.toByteArray();
	}

	private synchronized String newest(String topic) {
		Map<String, String> items = new LinkedHashMap<>();
		List<byte[]> records = records(topic);
		for (int i = 0; i < records.size(); i++) {
			byte[] record = records.get(i);
			int length = Byte.toUnsignedInt(record[0]);
			String key = new String(record, 1, length, StandardCharsets.UTF_8);
			byte[] value = java.util.Arrays.copyOfRange(record, 1 + length, record.length);
			if (value.length == 0) {
				items.remove(key);
				continue;
			}
			items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
					+ "\",\"offset\":" + i + "}");
		}
		return "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":" + records.size()
				+ "}";
	}

}
