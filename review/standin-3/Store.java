import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's store: keyed topics that keep all records. Safe for any thread. */
final class Store {

	private final HttpServer server;

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	Store(String host, ExecutorService threads) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(host, 0), 200);
		this.server.setExecutor(threads);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return this.server.getAddress().getHostString() + ":" + this.server.getAddress().getPort();
	}

	void put(String topic, String key, String value) {
		byte[] k = key.getBytes(StandardCharsets.UTF_8);
		byte[] v = value.getBytes(StandardCharsets.UTF_8);
		append(topic, ByteBuffer.allocate(1 + k.length + v.length).put((byte) k.length).put(k).put(v).array());
	}

	private synchronized long append(String topic, byte[] record) {
		List<byte[]> records = this.topics.computeIfAbsent(topic, (t) -> new ArrayList<>());
		records.add(record);
		notifyAll();
		return records.size();
	}

	private void handle(HttpExchange call) throws IOException {
		Map<String, String> query = new HashMap<>();
		for (String part : String.valueOf(call.getRequestURI().getQuery()).split("&")) {
			int equals = part.indexOf('=');
			if (equals > 0) {
				query.put(part.substring(0, equals), part.substring(equals + 1));
			}
		}
		String topic = query.getOrDefault("topic", "");
		byte[] body = call.getRequestBody().readAllBytes();
		switch (call.getRequestURI().getPath()) {
			case "/log-append" -> {
				ByteBuffer in = ByteBuffer.wrap(body);
				long end = 0;
				long first = -1;
				while (in.remaining() > 4) {
					byte[] record = new byte[in.getInt()];
					in.get(record);
					end = append(topic, record);
					first = (first < 0) ? end - 1 : first;
				}
				answer(call, 200, ("{\"offset\":" + first + ",\"end\":" + end + "}").getBytes());
			}
			case "/log-newest" -> answer(call, 200, newest(topic));
			case "/log-read" -> answer(call, 200, read(topic, Integer.parseInt(query.get("from")),
					Long.parseLong(query.getOrDefault("wait_ms", "0"))));
			default -> answer(call, 404, new byte[0]);
		}
	}

	private synchronized byte[] newest(String topic) {
		List<byte[]> records = this.topics.getOrDefault(topic, List.of());
		Map<String, String> items = new LinkedHashMap<>();
		for (int i = 0; i < records.size(); i++) {
			byte[] r = records.get(i);
			String key = new String(r, 1, r[0], StandardCharsets.UTF_8);
			byte[] value = java.util.Arrays.copyOfRange(r, 1 + r[0], r.length);
			items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
					+ "\",\"offset\":" + i + "}");
		}
		return ("{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":" + records.size()
				+ "}").getBytes(StandardCharsets.UTF_8);
	}

	private synchronized byte[] read(String topic, int from, long waitMillis) {
		long until = Record.millis() + Math.min(30_000, waitMillis);
		try {
			while (this.topics.getOrDefault(topic, List.of()).size() <= from && Record.millis() < until) {
				wait(Math.max(1, until - Record.millis()));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		List<byte[]> records = this.topics.getOrDefault(topic, List.of());
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
		for (int i = from; i < records.size(); i++) {
			out.writeBytes(ByteBuffer.allocate(4).putInt(records.get(i).length).array());
			out.writeBytes(records.get(i));
		}
		return out.toByteArray();
	}

	static void answer(HttpExchange call, int status, byte[] body) throws IOException {
		call.getResponseHeaders().set("Content-Type", "application/json");
		call.sendResponseHeaders(status, (body.length == 0) ? -1 : body.length);
		if (body.length > 0) {
			call.getResponseBody().write(body);
		}
		call.close();
	}

}
