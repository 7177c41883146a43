package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests clients that disconnect or pipeline requests while one of their requests is open. Most
 * tests end with a request of another client, which must be the next one that the endpoint
 * receives: otherwise, a request was forwarded after its client had disconnected.
 */
@Timeout(120)
class ClientRaceTest extends EventLoopFixture {
  /** Each is decoded in three steps, of which a connection may take 512 in a turn. */
  private static final int CHUNKS_FOR_TWO_TURNS = 200;

  private static final long STALL_BEYOND_IDLE_TIMEOUT_MILLIS = 2_200;

  private static final String NOT_EXECUTED_RESPONSE =
      "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

  private static final int MAX_USED_BYTES = 600_000;

  /** Returns a configuration in which a call to the counter may take 4 s. */
  private String slowCounterConfig(ScriptedServer server) throws IOException {
    return withSetting(
        configJson(readyEndpointJson("s-0", server.address())), "count-wait-ns", 4_000_000_000L);
  }

  /**
   * Returns the headers of a request of a customer whose quota two gateways share, so that the node
   * calls the counter.
   */
  private static Map<String, String> sharedQuotaRequestHeaders(String requestId) {
    Map<String, String> headers = requestHeaders(requestId, "order", "20000");
    headers.put("X-Quota", "units=1,spread=2,first=0");
    return headers;
  }

  private void delayCounterResponsesUntil(CompletableFuture<Void> proceed) {
    counterScript =
        request -> {
          proceed.join();
          request.respond(ScriptedServer.okResponse("", "1"));
        };
  }

  /**
   * A connect may take longer than the time after its client's disconnect in which a request may
   * still be sent, so the client must be checked again once the connection is established.
   */
  @Test
  void requestIsNotSentIfClientDisconnectsDuringConnect() throws Exception {
    FullBacklogServer server = new FullBacklogServer();
    resources.add(server);
    EdgeNode node =
        startNode(
            withSetting(
                configJson(readyEndpointJson("s-0", server.address())),
                "connect-timeout-ns",
                60_000_000_000L));
    Socket client = connect(node);
    writeIdempotentRequest(client, "t-1");
    awaitOnEventLoop(node, () -> node.pool().connectionCount() == 1);
    client.close();
    awaitAllDisconnected(node);
    CompletableFuture<ScriptedServer.Message> firstRequest = server.acceptAll();
    awaitOnEventLoop(node, () -> node.pool().idleConnectionCount() == 1 || firstRequest.isDone());
    assertFalse(firstRequest.isDone(), "request t-1 was sent although its client had disconnected");
    writeIdempotentRequest(connect(node), "t-2");
    assertEquals("t-2", firstRequest.get().requestId());
  }

  /** The client disconnects during the first attempt, whose connection the endpoint then closes. */
  @Test
  void requestIsNotRetriedIfClientDisconnectsBetweenAttempts() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    ScriptedServer server =
        startServer(
            request -> {
              if (request.requestId().equals("t-1")) {
                proceed.join();
                request.connection().close();
              } else {
                request.respond(ScriptedServer.okResponse("", "x"));
              }
            });
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    writeIdempotentRequest(client, "t-1");
    server.awaitRequest();
    client.close();
    awaitAllDisconnected(node);
    proceed.complete(null);
    awaitOnEventLoop(node, () -> node.pool().connectionCount() == 0);
    writeIdempotentRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /**
   * After the disconnect, the gateway keeps the first request until its counter call ends, while
   * the host no longer has it and passes the second one on. The gateway must reject that one, not
   * ignore it as a duplicate.
   */
  @Test
  void requestSentAgainDuringCounterCallOfItsFirstSendingGetsResponse() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    delayCounterResponsesUntil(proceed);
    EdgeNode node = startNode(slowCounterConfig(startOkServer("x")));
    Socket client = connect(node);
    writeRequest(client, "POST /api", sharedQuotaRequestHeaders("t-1"), "book");
    counter.awaitRequest();
    client.close();
    awaitAllDisconnected(node);
    Socket secondClient = connect(node);
    writeRequest(secondClient, "POST /api", sharedQuotaRequestHeaders("t-1"), "book");
    assertEquals("503", readStatus(secondClient));
    proceed.complete(null);
  }

  /**
   * Guards against a request that is executed twice: its id comes again on another connection, when
   * the attempt that its client has left behind has ended.
   */
  @Test
  void requestThatMayHaveBeenExecutedIsNotSentWhenItsIdComesAgain() throws Exception {
    CompletableFuture<ScriptedServer.Message> firstRequest = new CompletableFuture<>();
    ScriptedServer server = startServerThatWithholdsFirstResponse(firstRequest);
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    writeRequest(client, "POST /api", requestHeaders("t-1", "strict", "20000"), "book");
    server.awaitRequest();
    client.close();
    awaitAllDisconnected(node);
    firstRequest.join().respond(ScriptedServer.okResponse("", "x"));
    awaitOnEventLoop(node, () -> node.openRequestCount() == 0);
    Socket again = connect(node);
    writeRequest(again, "POST /api", requestHeaders("t-1", "strict", "20000"), "book");
    assertEquals("409", readStatus(again));
    writeKeyedRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /** Guards against a refusal of requests that may be executed again, or were not executed. */
  @Test
  void requestThatMayBeExecutedIsServedWhenItsIdComesAgain() throws Exception {
    ScriptedServer server =
        startServer(
            request -> {
              boolean full = request.requestId().equals("t-2");
              request.respond(full ? NOT_EXECUTED_RESPONSE : ScriptedServer.okResponse("", "x"));
            });
    EdgeNode node = startNode(server);
    for (int i = 0; i < 2; i++) {
      Socket idempotent = connect(node);
      writeIdempotentRequest(idempotent, "t-1");
      assertEquals("200", readStatus(idempotent));
      assertEquals("429", requestStatus(connect(node), "t-2"));
    }
  }

  /** The close follows the pipelined requests, so the node must read these to detect it. */
  @Test
  void requestIsNotSentIfClientPipelinesAndDisconnectsDuringCounterCall() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    delayCounterResponsesUntil(proceed);
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(slowCounterConfig(server));
    Socket client = connect(node);
    writeRequest(client, "POST /api", sharedQuotaRequestHeaders("t-1"), "book");
    counter.awaitRequest();
    for (int i = 0; i < 4; i++) {
      writeRequest(client, "POST /api", sharedQuotaRequestHeaders("a-" + i), "x".repeat(40_000));
      if (i == 1) {
        // The remaining requests are then read separately.
        awaitOnEventLoop(node, () -> node.usedRequestBytes() > 80_000);
      }
    }
    client.close();
    awaitAllDisconnected(node);
    proceed.complete(null);
    writeKeyedRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /**
   * Guards against a decoder that requests further reads although the node has turned auto-read
   * off: the pipelined bytes of a connection would then be read without bound.
   */
  @Test
  void pipelinedBytesAreBoundedHoweverLongARequestTakes() throws Exception {
    ScriptedServer server = startServer(request -> {});
    EdgeNode node = startNode(server);
    Socket pipelining = connect(node);
    writeKeyedRequest(pipelining, "t-1");
    server.awaitRequest();
    ScriptedServer.startThread(
        () -> {
          for (int i = 0; i < 400; i++) {
            writeRequest(
                pipelining,
                "POST /api",
                requestHeaders("a-" + i, "order", "20000"),
                "x".repeat(64 * 1024));
          }
        });
    awaitOnEventLoop(node, () -> node.readingPausedCount() == 1);
    for (int i = 0; i < 3_000; i++) {
      long usedBytes = callOnEventLoop(node, node::usedRequestBytes);
      assertTrue(
          usedBytes < MAX_USED_BYTES,
          "requests use " + usedBytes + " bytes, must be less than " + MAX_USED_BYTES);
    }
  }

  /** After an event-loop stall, one poll finds both the request and the close that follows it. */
  @Test
  void requestIsNotSentIfClientDisconnectsBeforeItIsRead() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    while (node.clientConnectionCount() < 1) {
      Thread.onSpinWait();
    }
    runOnEventLoop(
        node,
        () -> {
          writeIdempotentRequest(client, "t-1");
          client.close();
        });
    awaitAllDisconnected(node);
    writeIdempotentRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /** After an event-loop stall, a poll may find the attempt's end before the client's close. */
  @Test
  void requestIsNotRetriedIfClientDisconnectsDuringEventLoopStall() throws Exception {
    CompletableFuture<ScriptedServer.Message> firstRequest = new CompletableFuture<>();
    ScriptedServer server = startServerThatWithholdsFirstResponse(firstRequest);
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    writeIdempotentRequest(client, "t-1");
    server.awaitRequest();
    // This leaves an idle connection on which a retry could be sent immediately.
    writeIdempotentRequest(connect(node), "t-0");
    server.awaitRequest();
    awaitReusableConnection(node);
    runOnEventLoop(
        node,
        () -> {
          firstRequest.join().respond(NOT_EXECUTED_RESPONSE);
          client.close();
        });
    awaitAllDisconnected(node);
    writeIdempotentRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /**
   * The client pipelines more bytes than the node reads ahead, so the node cannot detect the close
   * that follows them: it must fail each pipelined request instead of forwarding it.
   */
  @Test
  void pipelinedRequestsAreNotSentIfClientDisconnectsUnseen() throws Exception {
    CompletableFuture<ScriptedServer.Message> firstRequest = new CompletableFuture<>();
    ScriptedServer server = startServerThatWithholdsFirstResponse(firstRequest);
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    server.awaitRequest();
    for (int i = 0; i < 10; i++) {
      writeRequest(
          client, "POST /api", requestHeaders("a-" + i, "order", "20000"), "x".repeat(60_000));
    }
    awaitOnEventLoop(node, () -> node.readingPausedCount() == 1);
    client.close();
    runOnEventLoop(
        node,
        () -> {
          Thread.sleep(150);
          firstRequest.join().respond(ScriptedServer.okResponse("", "x"));
        });
    awaitAllDisconnected(node);
    writeKeyedRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /**
   * The node cannot detect whether a client with unread bytes is still connected, so it fails the
   * request instead of forwarding it.
   */
  @Test
  void requestBeforeMorePipelinedBytesThanAreReadIsGivenUp() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    delayCounterResponsesUntil(proceed);
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(slowCounterConfig(server));
    Socket client = connect(node);
    writeRequest(client, "POST /api", sharedQuotaRequestHeaders("t-1"), "book");
    counter.awaitRequest();
    writeRequest(client, "POST /api", sharedQuotaRequestHeaders("a-1"), "x".repeat(600_000));
    awaitOnEventLoop(node, () -> node.readingPausedCount() == 1);
    runOnEventLoop(node, () -> Thread.sleep(250));
    proceed.complete(null);
    assertEquals("502", readStatus(client));
    writeKeyedRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /**
   * Guards against the loss of a request that arrives while the event loop is stalled: its
   * connection has exceeded the idle timeout when the stall ends, and the timeouts are checked
   * before the sockets are polled.
   */
  @Test
  void idleConnectionIsNotClosedOverRequestThatArrivedDuringEventLoopStall() throws Exception {
    EdgeNode node = startNode(startOkServer("x"));
    Socket client = connect(node);
    assertEquals("200", requestStatus(client, "t-1"));
    runDuringStallBeforeTimeoutCheck(
        node, () -> writeKeyedRequest(client, "t-2"), STALL_BEYOND_IDLE_TIMEOUT_MILLIS);
    assertEquals("200", readStatus(client));
  }

  /** Like the previous test, but the rest of a request arrives while the event loop is stalled. */
  @Test
  void requestCompletedDuringEventLoopStallIsNotTimedOut() throws Exception {
    EdgeNode node = startNode(startOkServer("x"));
    Socket client = connect(node);
    String head = requestHead("POST /api", requestHeaders("t-1", "order", "20000"));
    writeText(client, head + "Content-Length: 4\r\n\r\nbo");
    awaitOnEventLoop(node, () -> node.usedRequestBytes() > 0);
    runDuringStallBeforeTimeoutCheck(
        node, () -> writeText(client, "ok"), STALL_BEYOND_REQUEST_TIMEOUT_MILLIS);
    assertEquals("200", readStatus(client));
  }

  /** Like the previous test, but the rest takes several turns of the event loop to decode. */
  @Test
  void requestOfManyChunksCompletedDuringEventLoopStallIsNotTimedOut() throws Exception {
    EdgeNode node = startNode(startOkServer("x"));
    Socket client = connect(node);
    String head = requestHead("POST /api", requestHeaders("t-1", "order", "20000"));
    writeText(client, head + "Transfer-Encoding: chunked\r\n\r\n");
    awaitOnEventLoop(node, () -> node.usedRequestBytes() > 0);
    runDuringStallBeforeTimeoutCheck(
        node,
        () -> writeText(client, "1\r\nx\r\n".repeat(CHUNKS_FOR_TWO_TURNS) + "0\r\n\r\n"),
        STALL_BEYOND_REQUEST_TIMEOUT_MILLIS);
    assertEquals("200", readStatus(client));
  }

  /**
   * A response that fills the write buffer resumes decoding twice: once by itself, and once when
   * the buffer is writable again. Each pipelined request must still get one response.
   */
  @Test
  void pipelinedRequestsBehindLargeResponseAllGetResponses() throws Exception {
    int pipelined = 4;
    CompletableFuture<ScriptedServer.Message> firstRequest = new CompletableFuture<>();
    EdgeNode node = startNode(startServerThatWithholdsFirstResponse(firstRequest));
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    ScriptedServer.Message attempt = firstRequest.get();
    writeText(client, "GET /_health HTTP/1.1\r\n\r\n".repeat(pipelined));
    awaitOnEventLoop(node, () -> node.usedRequestBytes() > 100);
    attempt.respond(ScriptedServer.okResponse("", "x".repeat(64 * 1024)));
    for (int i = 0; i < 1 + pipelined; i++) {
      readStatus(client);
    }
  }
}
