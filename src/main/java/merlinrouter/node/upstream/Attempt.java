package merlinrouter.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Outcome;
import merlinrouter.node.http.ServiceProtocol;
import merlinrouter.node.request.OpenRequest;

/**
 * One forwarding of a request to an endpoint; its listener is notified of its end exactly once.
 * Used on the event loop only.
 */
final class Attempt {
  private static final long MIN_FORWARDED_TIMEOUT_MILLIS = 1;

  private final OpenRequest request;
  private final String endpointId;
  private final long timeoutNanos;
  private final AttemptListener listener;
  private final long startedAtNanos = System.nanoTime();
  private UpstreamConnection connection;
  private Future<?> timeout;
  private boolean written;
  private boolean ended;

  Attempt(OpenRequest request, String endpointId, long timeoutNanos, AttemptListener listener) {
    this.request = request;
    this.endpointId = endpointId;
    this.timeoutNanos = timeoutNanos;
    this.listener = listener;
  }

  String requestId() {
    return request.id();
  }

  String endpointId() {
    return endpointId;
  }

  long elapsedNanos() {
    return System.nanoTime() - startedAtNanos;
  }

  boolean isEnded() {
    return ended;
  }

  /** Returns whether the whole request was written, so that the endpoint may execute it. */
  boolean isWritten() {
    return written;
  }

  /**
   * Returns whether another attempt may follow if this one gets no response: only then is it of use
   * to give this one up before its timeout. After the first attempt the timeout alone counts, since
   * other endpoints may be as slow.
   */
  boolean mayBeReplaced() {
    boolean repeatable = request.method() == HttpMethod.GET || request.idempotencyKey() != null;
    return repeatable && request.attempts() <= 1;
  }

  /** Reads the client's connection and returns whether the client still waits for the response. */
  boolean readAndCheckClientWaiting() {
    return request.readAndCheckClientWaiting();
  }

  void scheduleTimeout(EventLoop loop) {
    timeout = loop.schedule(this::timeOut, timeoutNanos, TimeUnit.NANOSECONDS);
  }

  /** Assigns the connection that the request is written to. */
  void attach(UpstreamConnection target) {
    connection = target;
  }

  /** Removes the connection from this attempt, so that other attempts may use it. */
  void detach() {
    connection = null;
  }

  /** Records whether the whole request was written. */
  void setWritten(boolean complete) {
    written = complete;
  }

  /** Ends this attempt because its connection was lost. */
  void connectionLost() {
    end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
  }

  /**
   * Ends this attempt because an exception was thrown while it was started. A request that has been
   * passed to a connection may have been written.
   */
  void startFailed() {
    if (connection != null) {
      connection.close();
      end(Outcome.RESET);
    } else {
      end(Outcome.CONNECT_FAILED);
    }
  }

  private void timeOut() {
    if (connection != null) {
      connection.close();
    }
    end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
  }

  /** Ends this attempt without a response; has no effect if it has ended already. */
  void end(Outcome outcome) {
    end(outcome, 0, null);
  }

  /** Ends this attempt with a response; has no effect if it has ended already. */
  void end(UpstreamResponse response) {
    end(response.outcome(), response.chargedUnits(), response.body());
  }

  private void end(Outcome outcome, double chargedUnits, ByteBuf body) {
    if (ended) {
      return;
    }
    ended = true;
    if (timeout != null) {
      timeout.cancel(false);
    }
    if (connection != null) {
      connection.detachAttempt();
    }
    listener.attemptEnded(
        new CompletedAttempt(request, endpointId, outcome, elapsedNanos(), chargedUnits, body));
  }

  /** Returns the request to be written, with the remaining time of the attempt timeout. */
  FullHttpRequest toHttpRequest() {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.body().retainedDuplicate());
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(timeoutNanos - elapsedNanos());
    message
        .headers()
        .set(HttpHeaderNames.HOST, EndpointProtocol.SERVICE_HOST)
        .set(ServiceProtocol.REQUEST_ID, requestId())
        .set(
            ServiceProtocol.TIMEOUT_MILLIS,
            Math.max(MIN_FORWARDED_TIMEOUT_MILLIS, remainingMillis));
    if (request.idempotencyKey() != null) {
      message.headers().set(ServiceProtocol.IDEMPOTENCY_KEY, request.idempotencyKey());
    }
    if (request.body().isReadable()) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
    }
    return message;
  }
}
