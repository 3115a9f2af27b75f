package org.baobabspar.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;

import io.netty.handler.codec.http.HttpMethod;
import org.baobabspar.wire.HttpConnectionPool.UnsentException;
import org.reactivestreams.Publisher;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/**
 * Tests of {@link HttpConnectionPool} against a server on the loopback interface.
 */
public class HttpConnectionPoolTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final long LONG_TIMEOUT_MILLIS = 50_000;

	private static final LoopResources LOOPS = LoopResources.create("test", 1, true);

	private static final long SHORT_TIMEOUT_MILLIS = 500;

	/** Connections that the server of the current test has accepted. */
	private Set<String> connections;

	private Sinks.Empty<Void> release;

	private DisposableServer server;

	private HttpConnectionPool http;

	@BeforeMethod
	void startServer() {
		Set<String> accepted = ConcurrentHashMap.newKeySet();
		this.connections = accepted;
		this.release = Sinks.empty();
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.doOnConnection((c) -> accepted.add(c.channel().id().asLongText()))
			.handle(this::respond)
			.bindNow();
		this.http = new HttpConnectionPool("127.0.0.1", this.server.port(), 2, 1_000, LOOPS);
	}

	@AfterMethod
	void stopServer() {
		this.release.tryEmitEmpty();
		this.server.disposeNow();
	}

	@AfterClass
	static void disposeLoops() {
		LOOPS.dispose();
	}

	private Publisher<Void> respond(HttpServerRequest request, HttpServerResponse response) {
		return switch (request.uri()) {
			case "/held" -> this.release.asMono().then(Mono.from(response.sendString(Mono.just("held"))));
			case "/last" -> response.keepAlive(false).sendString(Mono.just("last"));
			default -> response.status(201).sendString(request.receive().asString().map((t) -> "got " + t));
		};
	}

	private Mono<String> call(String path, long timeoutMillis) {
		byte[] body = path.getBytes(StandardCharsets.UTF_8);
		return this.http.call(HttpMethod.POST, path, Map.of("Name", "value"), body, timeoutMillis)
			.map((a) -> a.status() + " " + new String(a.body(), StandardCharsets.UTF_8));
	}

	@Test
	void sequentialCallsShareConnection() {
		for (int i = 0; i < 5; i++) {
			Assert.assertEquals(call("/x", LONG_TIMEOUT_MILLIS).block(TIMEOUT), "201 got /x");
		}
		Assert.assertEquals(this.connections.size(), 1);
	}

	@Test
	void connectionClosedByServerIsReplaced() {
		Assert.assertEquals(call("/last", LONG_TIMEOUT_MILLIS).block(TIMEOUT), "200 last");
		Assert.assertEquals(call("/x", LONG_TIMEOUT_MILLIS).block(TIMEOUT), "201 got /x");
		Assert.assertEquals(this.connections.size(), 2);
	}

	@Test
	void callIsNotSentWhenAllConnectionsAreBusy() {
		Mono<List<String>> held = Flux.merge(call("/held", LONG_TIMEOUT_MILLIS), call("/held", LONG_TIMEOUT_MILLIS))
			.collectList()
			.cache();
		held.subscribe();
		Assert.assertThrows(UnsentException.class, () -> blockAndUnwrap(call("/x", LONG_TIMEOUT_MILLIS)));
		this.release.tryEmitEmpty();
		Assert.assertEquals(held.block(TIMEOUT), List.of("200 held", "200 held"));
		Assert.assertEquals(call("/x", LONG_TIMEOUT_MILLIS).block(TIMEOUT), "201 got /x");
	}

	@Test
	void timedOutCallClosesItsConnection() {
		Assert.assertThrows(TimeoutException.class, () -> blockAndUnwrap(call("/held", SHORT_TIMEOUT_MILLIS)));
		Assert.assertEquals(call("/x", LONG_TIMEOUT_MILLIS).block(TIMEOUT), "201 got /x");
		awaitConnections(2);
		Assert.assertEquals(this.connections.size(), 2);
	}

	@Test
	void responseThatIsNotHttpFailsCall() {
		DisposableServer other = TcpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((in, out) -> in.receive().take(1).thenMany(out.sendString(Mono.just("?\r\n\r\n"))))
			.bindNow();
		this.http = new HttpConnectionPool("127.0.0.1", other.port(), 1, 1_000, LOOPS);
		Assert.assertThrows(IOException.class, () -> blockAndUnwrap(call("/x", LONG_TIMEOUT_MILLIS)));
		other.disposeNow();
	}

	@Test
	void refusedConnectionIsReportedAsConnectFailure() {
		this.server.disposeNow();
		UnsentException ex = Assert.expectThrows(UnsentException.class,
				() -> blockAndUnwrap(call("/x", LONG_TIMEOUT_MILLIS)));
		Assert.assertTrue(ex.connectFailed());
	}

	/**
	 * Waits until the server has accepted the expected connections. It may accept the
	 * first one after it has answered on the second.
	 * @param count the expected number
	 */
	private void awaitConnections(int count) {
		Mono.delay(Duration.ofMillis(5)).repeat(() -> this.connections.size() < count).blockLast(TIMEOUT);
	}

	private static void blockAndUnwrap(Mono<String> call) throws Throwable {
		try {
			call.block(TIMEOUT);
		}
		catch (RuntimeException ex) {
			throw (ex.getCause() != null) ? ex.getCause() : ex;
		}
	}

}
