package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests clients whose requests take much time to decode for the bytes that they have. */
@Timeout(120)
class DecodingTurnTest extends EventLoopFixture {
  private static final int CLIENTS = 20;
  private static final int CHUNKS = 2_000;

  /** Enough for each connection to be read to its end. */
  private static final int TURNS = 4;

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\n\r\n";

  /** All are received in one read. */
  private static final int PIPELINED_REQUESTS = 20;

  private static final String RESPONSE_IN_CHUNKS_OF_ONE_BYTE =
      ScriptedServer.CHUNKED_RESPONSE_HEAD
          + ScriptedServer.chunk("x").repeat(2 * CHUNKS)
          + "0\r\n\r\n";

  private static final int MAX_BODY_BYTES = 64 * 1024;

  private static String requestInChunksOfOneByte(String requestId, int chunks) {
    return requestHead("POST /api", requestHeaders(requestId, "order", "20000"))
        + "Transfer-Encoding: chunked\r\n\r\n"
        + "1\r\nx\r\n".repeat(chunks)
        + "0\r\n\r\n";
  }

  private static String bodyBytes(ScriptedServer.Message request) {
    return Integer.toString(request.body().length());
  }

  private EdgeNode startNodeWithBodySizeServer() throws Exception {
    return startNode(
        startServer(request -> request.respond(ScriptedServer.okResponse("", bodyBytes(request)))));
  }

  private List<Socket> connectClients(EdgeNode node) throws Exception {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(connect(node));
    }
    while (node.clientConnectionCount() < CLIENTS) {
      Thread.onSpinWait();
    }
    return clients;
  }

  private static void writeRequests(List<Socket> clients) throws IOException {
    for (int i = 0; i < CLIENTS; i++) {
      writeText(clients.get(i), requestInChunksOfOneByte("t-" + i, CHUNKS));
    }
  }

  /** Runs a task after a number of turns of the event loop. Called on the event loop. */
  private static void runAfterTurns(EdgeNode node, int turns, Runnable task) {
    Runnable next = turns == 1 ? task : () -> runAfterTurns(node, turns - 1, task);
    node.loop().schedule(next, 0, TimeUnit.NANOSECONDS);
  }

  /**
   * Guards against an event loop that decodes all that its clients have sent before it handles
   * timers and other sockets: responses to other clients would be late.
   */
  @Test
  void timersRunBeforeAllSmallChunksAreDecoded() throws Exception {
    EdgeNode node = startNodeWithBodySizeServer();
    List<Socket> clients = connectClients(node);
    CompletableFuture<Integer> decodedRequests = new CompletableFuture<>();
    runOnEventLoop(
        node,
        () -> {
          writeRequests(clients);
          runAfterTurns(node, TURNS, () -> decodedRequests.complete(node.openRequestCount()));
        });
    assertEquals(0, decodedRequests.get(), "requests decoded within " + TURNS + " turns");
    for (Socket client : clients) {
      assertEquals(Integer.toString(CHUNKS), ScriptedServer.readMessage(client).body());
    }
  }

  /**
   * Guards against a check of timeouts that first decodes all that has arrived on each connection.
   */
  @Test
  void timersRunBeforeSmallChunksOfTimedOutRequestsAreDecoded() throws Exception {
    EdgeNode node = startNodeWithBodySizeServer();
    List<Socket> clients = connectClients(node);
    for (Socket client : clients) {
      writeText(client, "POST");
    }
    awaitOnEventLoop(node, () -> node.usedRequestBytes() == CLIENTS * "POST".length());
    CompletableFuture<Integer> decodedRequests = new CompletableFuture<>();
    runDuringStallBeforeTimeoutCheck(
        node,
        () -> {
          for (int i = 0; i < CLIENTS; i++) {
            String request = requestInChunksOfOneByte("t-" + i, CHUNKS);
            writeText(clients.get(i), request.substring("POST".length()));
          }
          runAfterTurns(node, 1, () -> decodedRequests.complete(node.openRequestCount()));
        },
        STALL_BEYOND_REQUEST_TIMEOUT_MILLIS);
    assertEquals(0, decodedRequests.get(), "requests decoded by the check of the timeouts");
    for (Socket client : clients) {
      readStatus(client);
    }
  }

  /**
   * Guards against an event loop that responds to all pipelined requests of a client before it
   * handles timers and other sockets.
   */
  @Test
  void timersRunBetweenPipelinedRequests() throws Exception {
    EdgeNode node = startNodeWithBodySizeServer();
    Socket client = connectClients(node).get(0);
    CompletableFuture<Long> undecodedBytes = new CompletableFuture<>();
    runOnEventLoop(
        node,
        () -> {
          writeText(client, HEALTH_CHECK.repeat(PIPELINED_REQUESTS));
          runAfterTurns(node, TURNS, () -> undecodedBytes.complete(node.usedRequestBytes()));
        });
    long decodedBytes = (long) HEALTH_CHECK.length() * PIPELINED_REQUESTS - undecodedBytes.get();
    assertTrue(
        decodedBytes <= (long) HEALTH_CHECK.length() * TURNS,
        decodedBytes + " bytes decoded within " + TURNS + " turns");
    for (int i = 0; i < PIPELINED_REQUESTS; i++) {
      readStatus(client);
    }
  }

  /** Guards against an event loop that decodes all that endpoints have sent before timers. */
  @Test
  void timersRunBeforeAllSmallChunksOfResponsesAreDecoded() throws Exception {
    ScriptedServer server = startServer(request -> {});
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    ScriptedServer.Message attempt = server.awaitRequest();
    CompletableFuture<Integer> openRequests = new CompletableFuture<>();
    runOnEventLoop(
        node,
        () -> {
          attempt.respond(RESPONSE_IN_CHUNKS_OF_ONE_BYTE);
          runAfterTurns(node, 1, () -> openRequests.complete(node.openRequestCount()));
        });
    assertEquals(1, openRequests.get(), "requests open after one turn");
    readStatus(client);
  }

  /** Guards against a limit on decoding that refuses a body of the maximum size. */
  @Test
  void largestBodyInChunksOfOneByteIsServed() throws Exception {
    EdgeNode node = startNodeWithBodySizeServer();
    Socket client = connect(node);
    writeText(client, requestInChunksOfOneByte("t-1", MAX_BODY_BYTES));
    ScriptedServer.Message response = ScriptedServer.readMessage(client);
    assertEquals("200", status(response));
    assertEquals(Integer.toString(MAX_BODY_BYTES), response.body());
    assertEquals("200", requestStatus(client, "t-2"));
  }
}
