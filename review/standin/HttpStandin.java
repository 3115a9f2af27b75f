import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The HTTP server of a stand-in. */
abstract class HttpStandin {

	private final HttpServer server;

	HttpStandin(String host, int port) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(host, port), 128);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
	}

	final void startServing() {
		this.server.start();
	}

	final void stopServing() {
		this.server.stop(0);
	}

	final int port() {
		return this.server.getAddress().getPort();
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			Reply reply = answer(exchange, exchange.getRequestURI().getPath(), query(exchange), body);
			exchange.getResponseHeaders().set("Content-Type", reply.type);
			exchange.sendResponseHeaders(reply.status, (reply.body.length > 0) ? reply.body.length : -1);
			if (reply.body.length > 0) {
				exchange.getResponseBody().write(reply.body);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	abstract Reply answer(HttpExchange exchange, String path, Map<String, String> query, byte[] body)
			throws InterruptedException;

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new LinkedHashMap<>();
		String text = exchange.getRequestURI().getQuery();
		for (String part : (text != null) ? text.split("&") : new String[0]) {
			int equals = part.indexOf('=');
			query.put(part.substring(0, equals), part.substring(equals + 1));
		}
		return query;
	}

	/** An answer. */
	record Reply(int status, String type, byte[] body) {

		static Reply json(int status, String text) {
			return new Reply(status, "application/json", text.getBytes(StandardCharsets.UTF_8));
		}

		static Reply raw(byte[] body) {
			return new Reply(200, "application/octet-stream", body);
		}

	}

}
