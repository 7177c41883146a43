package merlinrouter.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.ClientRequest;
import merlinrouter.node.request.OpenRequest;
import merlinrouter.node.request.RequestTimeline;
import merlinrouter.node.request.ResponseSink;

/**
 * The fixture of tests of race conditions. They force an order of events with a server that delays
 * its response, with a connect that stays in flight, or with a task that blocks the node's event
 * loop while events occur outside it. They rely only on waits that last at least a given time, so
 * that a slow machine does not change a result.
 */
abstract class EventLoopFixture extends NodeFixture {
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Longer than the quiet period: a connection is not reused within 10 ms of a response. */
  private static final long BEYOND_QUIET_PERIOD_MILLIS = 30;

  /** Longer than the interval at which the timeouts of connections are checked. */
  private static final long STALL_BEYOND_TIMEOUT_CHECK_MILLIS = 300;

  /** Longer than receiving a request may take. */
  static final long STALL_BEYOND_REQUEST_TIMEOUT_MILLIS = 2_700;

  /** A task for the event loop, which it may block. */
  interface Action {
    void run() throws Exception;
  }

  /** Runs a task on the event loop and waits for its result. */
  static <T> T callOnEventLoop(EdgeNode node, Callable<T> task) throws Exception {
    return node.loop().submit(task).get();
  }

  /** Runs an action on the event loop and waits for its end. */
  static void runOnEventLoop(EdgeNode node, Action action) throws Exception {
    callOnEventLoop(
        node,
        () -> {
          action.run();
          return null;
        });
  }

  /**
   * Runs an action in a stall of the event loop that a check of the timeouts directly follows: both
   * tasks are due in one turn, with no poll of the sockets between them.
   */
  static void runDuringStallBeforeTimeoutCheck(EdgeNode node, Action action, long stallMillis)
      throws Exception {
    runOnEventLoop(
        node,
        () -> {
          node.loop()
              .schedule(
                  () -> {
                    action.run();
                    Thread.sleep(stallMillis);
                    return null;
                  },
                  0,
                  TimeUnit.NANOSECONDS);
          Thread.sleep(STALL_BEYOND_TIMEOUT_CHECK_MILLIS);
        });
  }

  /** Waits until a condition holds, which is evaluated on the event loop. */
  static void awaitOnEventLoop(EdgeNode node, Callable<Boolean> condition) throws Exception {
    while (!callOnEventLoop(node, condition)) {
      Thread.onSpinWait();
    }
  }

  /** Waits until the node has detected the disconnects of all its clients. */
  static void awaitAllDisconnected(EdgeNode node) throws Exception {
    while (node.clientConnectionCount() > 0) {
      Thread.onSpinWait();
    }
  }

  /** Waits until one connection to an endpoint is idle and its quiet period is over. */
  static void awaitReusableConnection(EdgeNode node) throws Exception {
    awaitOnEventLoop(node, () -> node.pool().idleConnectionCount() == 1);
    node.loop().schedule(() -> {}, BEYOND_QUIET_PERIOD_MILLIS, TimeUnit.MILLISECONDS).get();
  }

  /** Writes a request that may be retried without an idempotency key. */
  static void writeIdempotentRequest(Socket client, String requestId) throws IOException {
    writeRequest(client, "GET /api", requestHeaders(requestId, "lookup", "20000"), "");
  }

  /**
   * Starts a server that responds with 200, except to request {@code t-1}, which completes {@code
   * firstRequest} and gets no response from the script.
   */
  ScriptedServer startServerThatWithholdsFirstResponse(
      CompletableFuture<ScriptedServer.Message> firstRequest) throws IOException {
    return startServer(
        request -> {
          if (request.requestId().equals("t-1")) {
            firstRequest.complete(request);
          } else {
            request.respond(ScriptedServer.okResponse("", "x"));
          }
        });
  }

  /** Starts a server that responds with the request's id as the body. */
  ScriptedServer startEchoServer() throws IOException {
    return startServer(
        request -> request.respond(ScriptedServer.okResponse("", request.requestId())));
  }

  /**
   * Passes a request to the node without a client connection. Must be called on the event loop, so
   * that no other event is handled in between. The future completes with the response's body, with
   * {@code "rejected"} or with {@code "failed"}.
   */
  static CompletableFuture<String> submitRequest(EdgeNode node, String requestId) {
    return submitRequest(
        node, requestId, new RequestTimeline(System.nanoTime(), REQUEST_TIMEOUT_NANOS));
  }

  /** Like {@link #submitRequest(EdgeNode, String)}, with the client's deadline in a timeline. */
  static CompletableFuture<String> submitRequest(
      EdgeNode node, String requestId, RequestTimeline timeline) {
    CompletableFuture<String> response = new CompletableFuture<>();
    long deadlineNanos = node.deadlineNanos(node.nowNanos(), REQUEST_TIMEOUT_NANOS);
    ClientRequest request = new ClientRequest(requestId, 1, 0, 7, deadlineNanos, 1, 1, 0, false);
    node.accept(
        new OpenRequest(
            request,
            HttpMethod.POST,
            "/api",
            "key-" + requestId,
            Unpooled.EMPTY_BUFFER,
            new FutureResponseSink(response),
            timeline));
    return response;
  }

  private record FutureResponseSink(CompletableFuture<String> response) implements ResponseSink {
    @Override
    public void served(ByteBuf body) {
      response.complete(body.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void rejected(long retryAfterNanos) {
      response.complete("rejected");
    }

    @Override
    public void failed() {
      response.complete("failed");
    }

    @Override
    public void failedInternally() {
      response.complete("failed internally");
    }

    @Override
    public boolean readAndCheckDisconnected() {
      return false;
    }
  }
}
