package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import merlinrouter.node.config.NodeConfigReader;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.RequestTimeline;
import org.junit.jupiter.api.Test;

/**
 * An exception in the handling of any event ends the request with one response at once, releases
 * what it holds and leaves other events alone. The exception is thrown by the node's log.
 */
class UnexpectedExceptionTest extends EventLoopFixture {
  private static final int MAX_CONCURRENT_REQUESTS = 1;

  /** A log that throws an exception when an event is counted for the first time. */
  private static final class FailingLog extends NodeLog {
    private final Event failing;
    private final AtomicBoolean failed = new AtomicBoolean();

    private FailingLog(Event failing) {
      this.failing = failing;
    }

    @Override
    public void count(Event event) {
      super.count(event);
      if (event == failing && failed.compareAndSet(false, true)) {
        throw new IllegalStateException("thrown by the test at " + event);
      }
    }
  }

  private EdgeNode startNode(NodeLog.Event failing, ScriptedServer... servers) throws Exception {
    String[] endpoints = new String[servers.length];
    for (int i = 0; i < servers.length; i++) {
      endpoints[i] = readyEndpointJson("s-" + i, servers[i].address());
    }
    String config =
        configJson(endpoints)
            .replace(
                "\"name\": \"bulk\",",
                "\"name\": \"bulk\", \"at-once\": " + MAX_CONCURRENT_REQUESTS + ",");
    EdgeNode node = new EdgeNode(NodeConfigReader.parse(config), new FailingLog(failing));
    resources.add(node);
    node.start();
    return node;
  }

  /** The customer's only slot is free again, and nothing is left behind. */
  private static void assertNothingHeld(EdgeNode node, Socket client) throws Exception {
    assertEquals("200", requestStatus(client, "t-last"));
    awaitOnEventLoop(node, () -> node.openRequestCount() == 0);
    node.drain().get();
  }

  @Test
  void requestReceived() throws Exception {
    EdgeNode node = startNode(NodeLog.Event.REJECTED, startEchoServer());
    Socket client = connect(node);
    writeRequest(client, "GET /api", requestHeaders("t-1", "lookup", "1"), "");
    assertEquals("429", readStatus(client));
    assertNothingHeld(node, client);
  }

  /** Starts a server that closes the connection of request {@code t-1} without a response. */
  private ScriptedServer startServerThatClosesFirst() throws IOException {
    return startServer(
        request -> {
          if (request.requestId().equals("t-1")) {
            request.connection().close();
          } else {
            request.respond(ScriptedServer.okResponse("", "x"));
          }
        });
  }

  @Test
  void attemptEndedAndRetryStarts() throws Exception {
    EdgeNode node = startNode(NodeLog.Event.RETRIED, startServerThatClosesFirst());
    Socket client = connect(node);
    writeIdempotentRequest(client, "t-1");
    assertEquals("500", readStatus(client));
    assertNothingHeld(node, client);
  }

  @Test
  void responseIncomplete() throws Exception {
    EdgeNode node = startNode(NodeLog.Event.RESPONSE_INCOMPLETE, startServerThatClosesFirst());
    Socket client = connect(node);
    writeRequest(client, "POST /api", requestHeaders("t-1", "strict", "20000"), "x");
    assertEquals("502", readStatus(client));
    assertNothingHeld(node, client);
  }

  @Test
  void clientDisconnected() throws Exception {
    CompletableFuture<ScriptedServer.Message> firstRequest = new CompletableFuture<>();
    EdgeNode node =
        startNode(
            NodeLog.Event.CLIENT_DISCONNECTED, startServerThatWithholdsFirstResponse(firstRequest));
    Socket leaving = connect(node);
    writeIdempotentRequest(leaving, "t-1");
    ScriptedServer.Message attempt = firstRequest.get();
    leaving.close();
    awaitAllDisconnected(node);
    attempt.respond(ScriptedServer.okResponse("", "x"));
    assertNothingHeld(node, connect(node));
  }

  /** The client's deadline has passed already; the request is written before this is noticed. */
  @Test
  void requestOverdue() throws Exception {
    CompletableFuture<ScriptedServer.Message> firstRequest = new CompletableFuture<>();
    EdgeNode node =
        startNode(NodeLog.Event.OVERDUE, startServerThatWithholdsFirstResponse(firstRequest));
    Socket client = connect(node);
    assertEquals("200", requestStatus(client, "t-0"));
    awaitReusableConnection(node);
    long arrivedAtNanos = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
    RequestTimeline timeline =
        new RequestTimeline(arrivedAtNanos, TimeUnit.MILLISECONDS.toNanos(400));
    CompletableFuture<String> response =
        callOnEventLoop(node, () -> submitRequest(node, "t-1", timeline));
    assertEquals("failed internally", response.get());
    firstRequest.get().respond(ScriptedServer.okResponse("", "x"));
    assertNothingHeld(node, client);
  }

  /** The list is delivered by the next watch. */
  @Test
  void listReceived() throws Exception {
    ScriptedServer server = startEchoServer();
    discovery =
        startServer(
            request ->
                request.respond(
                    watchResponse(fullListJson(6, readyEndpointJson("s-9", server.address())))));
    EdgeNode node = startNode(NodeLog.Event.LIST_RECEIVED);
    awaitServed(node);
    assertNothingHeld(node, connect(node));
  }
}
