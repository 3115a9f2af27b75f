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
 * Tests of {@link HttpConnectionPool} against a server on loopback.
 */
public class HttpConnectionPoolTests {

	private static final Duration BOUND = Duration.ofSeconds(60);

	private static final long LONG_MILLIS = 50_000;

	private static final LoopResources LOOPS = LoopResources.create("test", 1, true);

	private final Set<String> connections = ConcurrentHashMap.newKeySet();

	private Sinks.Empty<Void> release;

	private DisposableServer server;

	private HttpConnectionPool http;

	@BeforeMethod
	void serve() {
		this.connections.clear();
		this.release = Sinks.empty();
		this.server = HttpServer.create().host("127.0.0.1").port(0).handle(this::answer).bindNow();
		this.http = new HttpConnectionPool("127.0.0.1", this.server.port(), 2, 1_000, LOOPS);
	}

	@AfterMethod
	void end() {
		this.release.tryEmitEmpty();
		this.server.disposeNow();
	}

	@AfterClass
	static void endLoops() {
		LOOPS.dispose();
	}

	private Publisher<Void> answer(HttpServerRequest request, HttpServerResponse response) {
		request.withConnection((c) -> this.connections.add(c.channel().id().asLongText()));
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
	void callsInTurnShareAConnection() {
		for (int i = 0; i < 5; i++) {
			Assert.assertEquals(call("/x", LONG_MILLIS).block(BOUND), "201 got /x");
		}
		Assert.assertEquals(this.connections.size(), 1);
	}

	@Test
	void aConnectionThatTheServerClosesIsReplaced() {
		Assert.assertEquals(call("/last", LONG_MILLIS).block(BOUND), "200 last");
		Assert.assertEquals(call("/x", LONG_MILLIS).block(BOUND), "201 got /x");
		Assert.assertEquals(this.connections.size(), 2);
	}

	@Test
	void aCallBesideHeldOnesIsNotSent() {
		Mono<List<String>> held = Flux.merge(call("/held", LONG_MILLIS), call("/held", LONG_MILLIS))
			.collectList()
			.cache();
		held.subscribe();
		Assert.assertThrows(UnsentException.class, () -> unwrapped(call("/x", LONG_MILLIS)));
		this.release.tryEmitEmpty();
		Assert.assertEquals(held.block(BOUND), List.of("200 held", "200 held"));
		Assert.assertEquals(call("/x", LONG_MILLIS).block(BOUND), "201 got /x");
	}

	@Test
	void aCallWithoutAnAnswerClosesItsConnection() {
		Assert.assertThrows(TimeoutException.class, () -> unwrapped(call("/held", 50)));
		Assert.assertEquals(call("/x", LONG_MILLIS).block(BOUND), "201 got /x");
		Assert.assertEquals(this.connections.size(), 2);
	}

	@Test
	void anAnswerThatIsNotHttpIsAnError() {
		DisposableServer other = TcpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((in, out) -> in.receive().take(1).thenMany(out.sendString(Mono.just("?\r\n\r\n"))))
			.bindNow();
		this.http = new HttpConnectionPool("127.0.0.1", other.port(), 1, 1_000, LOOPS);
		Assert.assertThrows(IOException.class, () -> unwrapped(call("/x", LONG_MILLIS)));
		other.disposeNow();
	}

	@Test
	void aServerThatIsGoneIsTold() {
		this.server.disposeNow();
		UnsentException ex = Assert.expectThrows(UnsentException.class, () -> unwrapped(call("/x", LONG_MILLIS)));
		Assert.assertTrue(ex.connectionRefused());
	}

	private static void unwrapped(Mono<String> call) throws Throwable {
		try {
			call.block(BOUND);
		}
		catch (RuntimeException ex) {
			throw (ex.getCause() != null) ? ex.getCause() : ex;
		}
	}

}
