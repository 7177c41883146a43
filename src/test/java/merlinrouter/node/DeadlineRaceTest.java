package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import merlinrouter.node.request.RequestTimeline;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests the deadlines and the forwarded timeouts of requests that are delayed by their connection,
 * by their client or by a stall of the event loop. A client's timeout counts from the arrival of
 * the first byte of its request.
 */
@Timeout(120)
class DeadlineRaceTest extends EventLoopFixture {
  private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long IDLE_BEFORE_FIRST_REQUEST_MILLIS = 500;
  private static final long ACCEPT_STALL_MILLIS = 500;
  private static final long PAUSE_WITHIN_REQUEST_MILLIS = 300;

  /** The maximum number of connections that one poll accepts. */
  private static final int ACCEPTS_PER_POLL = 16;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Returns a configuration with a latency objective of 400 ms, short enough that a request with
   * little time left is still forwarded.
   */
  private String shortObjectiveConfig(ScriptedServer server) throws IOException {
    return withSetting(
        configJson(readyEndpointJson("s-0", server.address())), "aim-ns", 400_000_000L);
  }

  /**
   * Guards against a deadline that counts from the decoding of a pipelined request: the response
   * would be sent when the client no longer waits for it.
   */
  @Test
  void deadlineOfPipelinedRequestCountsFromItsArrival() throws Exception {
    CompletableFuture<ScriptedServer.Message> firstRequest = new CompletableFuture<>();
    ScriptedServer server = startServerThatWithholdsFirstResponse(firstRequest);
    EdgeNode node = startNode(shortObjectiveConfig(server));
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    server.awaitRequest();
    writeRequest(client, "POST /api", requestHeaders("t-2", "order", "400"), "book");
    awaitOnEventLoop(node, () -> node.usedRequestBytes() > 100);
    runOnEventLoop(
        node,
        () -> {
          Thread.sleep(450);
          firstRequest.join().respond(ScriptedServer.okResponse("", "x"));
        });
    assertEquals("200", readStatus(client));
    assertFalse(readStatus(client).equals("200"), "request t-2 was served after its deadline");
    writeKeyedRequest(client, "t-3");
    assertEquals("t-3", server.awaitRequest().requestId());
  }

  /** The request arrives during a stall of the event loop that lasts beyond its deadline. */
  @Test
  void deadlineOfUnreadRequestCountsFromItsArrival() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(shortObjectiveConfig(server));
    Socket client = connect(node);
    assertEquals("200", requestStatus(client, "t-1"));
    server.awaitRequest();
    runOnEventLoop(
        node,
        () -> {
          writeRequest(client, "POST /api", requestHeaders("t-2", "order", "400"), "book");
          Thread.sleep(450);
        });
    assertFalse(readStatus(client).equals("200"), "request t-2 was served after its deadline");
    writeKeyedRequest(client, "t-3");
    assertEquals("t-3", server.awaitRequest().requestId());
  }

  /**
   * Guards against a timeout that counts from the connect: a client that connects some time before
   * it sends its request would lose that time.
   */
  @Test
  void deadlineOfFirstRequestExcludesTimeBeforeItOnItsConnection() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    while (node.clientConnectionCount() < 1) {
      Thread.onSpinWait();
    }
    Thread.sleep(IDLE_BEFORE_FIRST_REQUEST_MILLIS);
    long earliestArrivalNanos = callOnEventLoop(node, node::previousPollNanos);
    writeKeyedRequest(client, "t-1");
    long forwardedMillis = forwardedTimeoutMillis(server.awaitRequest());
    long leftMillis = leftMillis(node, earliestArrivalNanos);
    assertTrue(
        forwardedMillis >= leftMillis,
        "forwarded a timeout of "
            + forwardedMillis
            + " ms, at least "
            + leftMillis
            + " ms were left");
  }

  /**
   * Guards against a timeout that counts from the last byte of a request: the time that the request
   * takes to arrive would be added to its client's timeout.
   */
  @Test
  void forwardedTimeoutExcludesTimeBetweenFirstAndLastByteOfRequest() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    String head = requestHead("POST /api", requestHeaders("t-1", "order", "20000"));
    String request = head + "Content-Length: 4\r\n\r\nbook";
    int withinRequestLine = "POST /a".length();
    int withinHead = head.length() - 1;
    int withinBody = request.length() - 2;
    for (int firstPart : List.of(withinRequestLine, withinHead, withinBody)) {
      Socket client = connect(node);
      writeText(client, request.substring(0, firstPart));
      awaitOnEventLoop(node, () -> node.usedRequestBytes() > 0);
      long firstPartReadAtNanos = System.nanoTime();
      Thread.sleep(PAUSE_WITHIN_REQUEST_MILLIS);
      final long pausedNanos = System.nanoTime() - firstPartReadAtNanos;
      writeText(client, request.substring(firstPart));
      long forwardedMillis = forwardedTimeoutMillis(server.awaitRequest());
      assertTrue(
          forwardedMillis <= 20_000 - TimeUnit.NANOSECONDS.toMillis(pausedNanos),
          "forwarded a timeout of "
              + forwardedMillis
              + " ms, the request's first part has "
              + firstPart
              + " bytes");
      assertEquals("200", readStatus(client));
    }
  }

  /**
   * The client connects during a stall of the event loop, behind as many others as one poll
   * accepts, so a later poll accepts it. Its timeout must not count from there.
   */
  @Test
  void forwardedTimeoutExcludesWaitForAcceptBehindAsManyClientsAsOnePollAccepts() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    long stalledMillis =
        callOnEventLoop(
            node,
            () -> {
              for (int i = 0; i < ACCEPTS_PER_POLL; i++) {
                connect(node);
              }
              writeKeyedRequest(connect(node), "t-1");
              long writtenAtNanos = System.nanoTime();
              Thread.sleep(ACCEPT_STALL_MILLIS);
              return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenAtNanos);
            });
    long forwardedMillis = forwardedTimeoutMillis(server.awaitRequest());
    assertTrue(
        forwardedMillis <= 20_000 - stalledMillis,
        "forwarded a timeout of "
            + forwardedMillis
            + " ms after a stall of "
            + stalledMillis
            + " ms");
  }

  /** Returns the time left to a request with a timeout of 20 s, in whole milliseconds. */
  private static long leftMillis(EdgeNode node, long arrivedAtNanos) {
    long timeoutNanos = TimeUnit.SECONDS.toNanos(20);
    long deadlineNanos = node.deadlineNanos(node.toGatewayTime(arrivedAtNanos), timeoutNanos);
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - node.nowNanos());
  }

  private static long forwardedTimeoutMillis(ScriptedServer.Message attempt) {
    return Long.parseLong(attempt.headers().get("x-expires-in-ms"));
  }

  /**
   * The smaller the fraction of a core that the node may use, the longer a garbage collection
   * stalls the event loop, and the earlier the response must be due.
   */
  @Test
  void finalResponseIsDueBeforeAGarbageCollectionCouldDelayIt() throws Exception {
    EdgeNode onOneCore = startNode();
    EdgeNode onQuarterCore =
        startNode(configJson().replace("\"sockets\": 1024", "\"sockets\": 1024, \"cores\": 0.25"));
    assertDeadlineMillis(976, onOneCore, 1_000);
    assertDeadlineMillis(904, onQuarterCore, 1_000);
    // The margin is only a part of a short timeout, but at least the time to write a response.
    assertDeadlineMillis(150, onQuarterCore, 200);
    assertDeadlineMillis(8, onQuarterCore, 20);
    assertDeadlineMillis(1, onQuarterCore, 3);
  }

  private static void assertDeadlineMillis(long expected, EdgeNode node, long timeoutMillis) {
    assertEquals(
        expected * NANOS_PER_MILLI,
        node.deadlineNanos(0, timeoutMillis * NANOS_PER_MILLI),
        "with a timeout of " + timeoutMillis + " ms");
  }

  /**
   * A slow write of a log line stalls the event loop between two attempts. The timeout that the
   * retry forwards must not include the time of the stall.
   */
  @Test
  void forwardedTimeoutExcludesEventLoopStallBeforeTheAttempt() throws Exception {
    AtomicBoolean failNext = new AtomicBoolean(true);
    ScriptedServer.Script script =
        request ->
            request.respond(
                failNext.getAndSet(false)
                    ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
                    : ScriptedServer.okResponse("", "x"));
    ScriptedServer[] servers = {startServer(script), startServer(script)};
    Socket client = connect(startNode(servers));
    PrintStream standardOutput = System.out;
    AtomicLong sentAtNanos = new AtomicLong();
    AtomicBoolean stalled = new AtomicBoolean();
    System.setOut(
        new PrintStream(standardOutput) {
          @Override
          public void println(String line) {
            if (line.startsWith("endpoint is an outlier")) {
              while (System.nanoTime() - sentAtNanos.get() < STALL_NANOS) {
                Thread.onSpinWait();
              }
              stalled.set(true);
            }
            super.println(line);
          }
        });
    try {
      for (int i = 0; !stalled.get(); i++) {
        failNext.set(true);
        sentAtNanos.set(System.nanoTime());
        writeIdempotentRequest(client, "t-" + i);
        assertEquals("200", readStatus(client));
      }
    } finally {
      System.setOut(standardOutput);
    }
    long maxMillis = 20_000 - TimeUnit.NANOSECONDS.toMillis(STALL_NANOS) + 150;
    long minMillis = Long.MAX_VALUE;
    for (ScriptedServer server : servers) {
      for (ScriptedServer.Message attempt : server.received) {
        minMillis = Math.min(minMillis, forwardedTimeoutMillis(attempt));
      }
    }
    assertTrue(
        minMillis <= maxMillis,
        "forwarded a timeout of "
            + minMillis
            + " ms after the stall, at most "
            + maxMillis
            + " ms allowed");
  }

  /** After a stall, an overdue response is not delayed further by events that arrived during it. */
  @Test
  void overdueResponseIsSentBeforeTheNextEventIsHandled() throws Exception {
    CompletableFuture<ScriptedServer.Message> received = new CompletableFuture<>();
    EdgeNode node = startNode(startServerThatWithholdsFirstResponse(received));
    RequestTimeline timeline = new RequestTimeline(System.nanoTime(), STALL_NANOS);
    CompletableFuture<String> overdue =
        callOnEventLoop(node, () -> submitRequest(node, "t-1", timeline));
    received.get();
    runOnEventLoop(
        node,
        () -> {
          while (System.nanoTime() - timeline.clientDeadlineNanos() < 0) {
            Thread.onSpinWait();
          }
          submitRequest(node, "t-2");
          assertTrue(
              overdue.isDone(),
              "request t-2 was handled before the overdue response to t-1 was sent");
        });
    assertEquals("failed", overdue.get());
  }
}
