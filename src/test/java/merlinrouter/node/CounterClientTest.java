package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.config.NodeConfigReader;
import merlinrouter.node.counter.CounterClient;
import merlinrouter.node.counter.CounterResult;
import merlinrouter.node.transport.EventLoops;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls to a counter that responds late, sends malformed responses or moves to another address. */
@Timeout(120)
class CounterClientTest extends NodeFixture {
  private static final long TIME_TO_LIVE_NANOS = 4_000_000_000L;
  private static final long CALL_TIMEOUT_NANOS = 2_000_000_000L;
  private static final long SHORT_CALL_TIMEOUT_NANOS = 60_000_000L;

  /** One after another, each until its timeout. */
  private static final int CALLS_OF_A_LONG_OUTAGE = 170;

  /** Twice the number of timeouts after which a connection without a response is replaced. */
  private static final int MAX_CALLS_UNTIL_REPLACED = 20;

  /** Too few for a connection to be replaced for its silence. */
  private static final int LOST_RESPONSES = 5;

  /** Twice the number of timeouts after which a connection with late responses is replaced. */
  private static final int MAX_CALLS_WITH_LOST_RESPONSES = 80;

  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private final Set<Socket> connectionsWithResponse = ConcurrentHashMap.newKeySet();
  private EventLoop loop;
  private CounterClient client;

  @BeforeEach
  void client() throws Exception {
    EventLoopGroup group = EventLoops.newSingleLoopGroup(NioIoHandler.newFactory());
    resources.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
    loop = group.next();
    client = newClient(configWithCounter(counter, CALL_TIMEOUT_NANOS));
  }

  private CounterClient newClient(NodeConfig config) throws Exception {
    return loop.submit(() -> new CounterClient(this::addResult, loop, config)).get();
  }

  private void addResult(CounterResult result) {
    results.add(result.counterKey() + " " + result.outcome() + " " + result.total());
  }

  private NodeConfig configWithCounter(ScriptedServer server, long callTimeoutNanos)
      throws Exception {
    return NodeConfigReader.parse(
        withSetting(
            configJson().replace(counter.address(), server.address()),
            "count-wait-ns",
            callTimeoutNanos));
  }

  private void add(long counterKey, double amount) {
    loop.execute(() -> client.add(counterKey, amount, TIME_TO_LIVE_NANOS));
  }

  private void assertNextResult(String result) throws InterruptedException {
    assertEquals(result, results.poll(60, TimeUnit.SECONDS));
  }

  /**
   * A late response belongs to the call that timed out. If it were assigned to the next call, all
   * later totals would be shifted by one call.
   */
  @Test
  void aLateResponseIsNotAssignedToTheNextCall() throws Exception {
    CompletableFuture<Void> respond = new CompletableFuture<>();
    counterScript =
        request -> {
          if (counter.received.size() == 1) {
            respond.join();
            request.respond(ScriptedServer.okResponse("", "77"));
          } else {
            request.respond(ScriptedServer.okResponse("", "88"));
          }
        };
    add(4, 1.5);
    assertNextResult("4 TIMEOUT 0.0");
    add(4, -2.25);
    respond.complete(null);
    assertNextResult("4 OK 88.0");
    assertEquals("POST /tally/4?n=1.5&keep_ms=4000 HTTP/1.1", counter.awaitRequest().startLine());
    assertEquals("POST /tally/4?n=-2.25&keep_ms=4000 HTTP/1.1", counter.awaitRequest().startLine());
  }

  /**
   * Otherwise later bytes could be taken for the next call's response, or the client could wait for
   * the rest of the malformed one.
   */
  @Test
  void aConnectionWithAMalformedResponseIsReplaced() throws Exception {
    for (String malformed :
        List.of(
            ScriptedServer.okResponse("", "1d"),
            ScriptedServer.okResponse("", "0x1p3"),
            ScriptedServer.okResponse("", ""),
            ScriptedServer.okResponse("", "NaN"),
            "noise",
            "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\n1",
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n1",
            "HTTP/1.1 200 OK\r\n\r\n1",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")) {
      counterScript = request -> request.respond(malformed);
      add(4, 1);
      assertNextResult("4 RESET 0.0");
      ScriptedServer.Message first = counter.awaitRequest();
      counterScript = request -> request.respond(ScriptedServer.okResponse("", "5"));
      add(4, 1);
      assertNextResult("4 OK 5.0");
      assertNotSame(first.connection(), counter.awaitRequest().connection(), malformed);
    }
  }

  /**
   * If calls were written to the new address while an earlier call is open at the previous one,
   * they could end before it.
   */
  @Test
  void aMoveKeepsTheOrderOfACountersCalls() throws Exception {
    CompletableFuture<Void> respond = new CompletableFuture<>();
    counterScript =
        request -> {
          respond.join();
          request.respond(ScriptedServer.okResponse("", "1"));
        };
    ScriptedServer newCounter = startOkServer("2");
    add(4, 1);
    counter.awaitRequest();
    NodeConfig newConfig = configWithCounter(newCounter, CALL_TIMEOUT_NANOS);
    loop.submit(() -> client.switchTo(newConfig.counter())).get();
    add(4, 1);
    add(8, 1);
    respond.complete(null);
    assertNextResult("4 OK 1.0");
    assertNextResult("4 OK 2.0");
    assertNextResult("8 OK 2.0");
    assertNotNull(
        counter.endedConnections.poll(60, TimeUnit.SECONDS),
        "the previous connection must be closed");
    assertTrue(counter.received.isEmpty(), "calls after the move must go to the new address");
  }

  /**
   * A call beyond the 256 open calls of a connection closes it. The earlier calls must end in the
   * order in which they were added, and before the call that exceeds the maximum.
   */
  @Test
  void openCallsEndInOrderAtTheirMaximumNumber() throws Exception {
    counterScript = request -> {};
    for (int i = 0; i < 300; i++) {
      add(4L * i, 1);
    }
    for (int i = 0; i < 300; i++) {
      String result = results.poll(60, TimeUnit.SECONDS);
      assertTrue(
          result != null && result.startsWith(4L * i + " "), "call " + i + " ended as " + result);
    }
  }

  /** A response that was incomplete when its call timed out closed the connection. */
  @Test
  void aResponseThatGoesOnToArriveDoesNotCloseTheConnection() throws Exception {
    CompletableFuture<Void> firstCallEnded = new CompletableFuture<>();
    counterScript =
        request -> {
          if (counter.received.size() == 1) {
            request.respond("HTTP/1.1 200 OK\r\nX-Padding: ");
            while (!firstCallEnded.isDone()) {
              request.respond("x");
              Thread.sleep(100);
            }
            request.respond("\r\nContent-Length: 2\r\n\r\n77");
          } else {
            request.respond(ScriptedServer.okResponse("", "88"));
          }
        };
    add(4, 1);
    add(4, 1);
    assertNextResult("4 TIMEOUT 0.0");
    assertNextResult("4 TIMEOUT 0.0");
    add(4, 1);
    firstCallEnded.complete(null);
    assertNextResult("4 OK 88.0");
    assertTrue(counter.endedConnections.isEmpty(), "the connection was closed");
  }

  /** Each connection was given up before the counter's first response on it. */
  @Test
  void aCounterWhoseFirstResponseTakesManyTimeoutsIsNotGivenUpForEver() throws Exception {
    counterScript =
        request -> {
          if (!connectionsWithResponse.contains(request.connection())) {
            Thread.sleep(20 * SHORT_CALL_TIMEOUT_NANOS / 1_000_000L);
            connectionsWithResponse.add(request.connection());
          }
          request.respond(ScriptedServer.okResponse("", "88"));
        };
    client = newClient(configWithCounter(counter, SHORT_CALL_TIMEOUT_NANOS));
    String result = "";
    while (!result.equals("4 OK 88.0")) {
      add(4, 1);
      result = results.take();
    }
  }

  /**
   * A connection opened late in an outage was kept for as long as the outage had taught, although
   * the counter would have answered on another one.
   */
  @Test
  void aConnectionOfAnOutageIsReplacedAsSoonAfterALongOneAsAfterAShortOne() throws Exception {
    AtomicBoolean outageEnded = new AtomicBoolean();
    Set<Socket> connectionsOfOutage = ConcurrentHashMap.newKeySet();
    counterScript =
        request -> {
          if (!outageEnded.get()) {
            connectionsOfOutage.add(request.connection());
          }
          if (!connectionsOfOutage.contains(request.connection())) {
            request.respond(ScriptedServer.okResponse("", "88"));
          }
        };
    client = newClient(configWithCounter(counter, SHORT_CALL_TIMEOUT_NANOS));
    for (int i = 0; i < CALLS_OF_A_LONG_OUTAGE; i++) {
      add(4, 1);
      assertNotEquals("4 OK 88.0", results.take());
    }
    outageEnded.set(true);
    assertAnsweredWithin(MAX_CALLS_UNTIL_REPLACED);
  }

  /** Makes calls one after another, of which one must be answered within a maximum number. */
  private void assertAnsweredWithin(int maxCalls) throws InterruptedException {
    String result = "";
    for (int calls = 1; !result.equals("4 OK 88.0"); calls++) {
      assertTrue(calls <= maxCalls, "the connection was not replaced in " + maxCalls + " calls");
      add(4, 1);
      result = results.take();
    }
  }

  /**
   * Without responses to a few calls, each later response was taken for that to an earlier call,
   * and all calls timed out as long as the connection lasted.
   */
  @Test
  void aConnectionThatHasLostResponsesIsReplaced() throws Exception {
    counterScript =
        request -> {
          if (counter.received.size() > LOST_RESPONSES) {
            request.respond(ScriptedServer.okResponse("", "88"));
          }
        };
    client = newClient(configWithCounter(counter, SHORT_CALL_TIMEOUT_NANOS));
    assertAnsweredWithin(MAX_CALLS_WITH_LOST_RESPONSES);
  }

  /** The counter's host name cannot be resolved for a while: no other connection was opened. */
  @Test
  void callsFailAtOnceWhileTheHostNameCannotBeResolved() throws Exception {
    SocketAddress unresolvable = InetSocketAddress.createUnresolved("x".repeat(300), 80);
    loop.submit(() -> client.switchTo(unresolvable)).get();
    for (int i = 1; i <= 2; i++) {
      int calls = i;
      add(1, 1);
      boolean failedBeforeItsTimeout =
          loop.schedule(() -> results.size() == calls, CALL_TIMEOUT_NANOS / 2, TimeUnit.NANOSECONDS)
              .get();
      assertTrue(failedBeforeItsTimeout, "call " + i);
    }
    SocketAddress address = configWithCounter(counter, CALL_TIMEOUT_NANOS).counter();
    loop.submit(() -> client.switchTo(address)).get();
    add(1, 1);
    assertEquals("1 CONNECT_FAILED 0.0", results.take());
    assertEquals("1 CONNECT_FAILED 0.0", results.take());
    assertEquals("1 OK 1.0", results.take());
  }
}
