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
 * What tests of race conditions share. They force an order of events by a server that waits, by a
 * connect that is not accepted, or by work on the node's event loop while something happens
 * outside. They only ever outlast a duration, so that a slow machine changes no result.
 */
abstract class EventLoopFixture extends NodeFixture {
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Longer than the 10 ms for which a connection is not used again after a response. */
  private static final long QUIET_PERIOD_OVER_MILLIS = 30;

  /** Work on the event loop that may block it. */
  interface Action {
    void run() throws Exception;
  }

  /** Runs on the event loop and waits for the result. */
  static <T> T callOnEventLoop(EdgeNode node, Callable<T> task) throws Exception {
    return node.loop().submit(task).get();
  }

  /** Runs on the event loop and waits for the end. */
  static void runOnEventLoop(EdgeNode node, Action action) throws Exception {
    callOnEventLoop(
        node,
        () -> {
          action.run();
          return null;
        });
  }

  /** Waits until the condition holds on the event loop. */
  static void awaitOnEventLoop(EdgeNode node, Callable<Boolean> condition) throws Exception {
    while (!callOnEventLoop(node, condition)) {
      Thread.onSpinWait();
    }
  }

  /** Waits until the node has seen all its clients disconnect. */
  static void awaitAllDisconnected(EdgeNode node) throws Exception {
    while (node.clientConnectionCount() > 0) {
      Thread.onSpinWait();
    }
  }

  /** Waits until one connection to an endpoint is idle and its quiet period is over. */
  static void awaitReusableConnection(EdgeNode node) throws Exception {
    awaitOnEventLoop(node, () -> node.pool().idleConnectionCount() == 1);
    node.loop().schedule(() -> {}, QUIET_PERIOD_OVER_MILLIS, TimeUnit.MILLISECONDS).get();
  }

  /** Writes a request that may be repeated without an idempotency key. */
  static void writeIdempotentRequest(Socket client, String requestId) throws IOException {
    writeRequest(client, "GET /api", requestHeaders(requestId, "lookup", "20000"), "");
  }

  /** Responds with 200, but request {@code t-1} completes {@code first} and gets no response. */
  ScriptedServer startServerThatHoldsFirst(CompletableFuture<ScriptedServer.Message> first)
      throws IOException {
    return startServer(
        request -> {
          if (request.requestId().equals("t-1")) {
            first.complete(request);
          } else {
            request.respond(ScriptedServer.okResponse("", "x"));
          }
        });
  }

  /** A server whose responses have the request's id as their body. */
  ScriptedServer startEchoServer() throws IOException {
    return startServer(
        request -> request.respond(ScriptedServer.okResponse("", request.requestId())));
  }

  /**
   * Hands a request to the node without a client's connection. Called on the event loop, so that no
   * other event comes between. Completes with the response's body, {@code "rejected"} or {@code
   * "failed"}.
   */
  static CompletableFuture<String> submitRequest(EdgeNode node, String requestId) {
    return submitRequest(
        node, requestId, new RequestTimeline(System.nanoTime(), REQUEST_TIMEOUT_NANOS));
  }

  /** As {@link #submitRequest(EdgeNode, String)}, with the times of the request's client. */
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
    public boolean readAndCheckDisconnected() {
      return false;
    }
  }
}
