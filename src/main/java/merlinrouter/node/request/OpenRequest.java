package merlinrouter.node.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;

/**
 * A request that was accepted: what is forwarded to endpoints, its attempts so far, and the
 * response that is owed to its client. Used on the event loop only.
 */
public final class OpenRequest {
  private final ClientRequest clientRequest;
  private final HttpMethod method;
  private final String uri;
  private final String idempotencyKey;
  private final ByteBuf body;
  private final ResponseSink responseSink;
  private final RequestTimeline timeline;
  private int attempts;
  private boolean attemptInFlight;
  private boolean possiblyExecuted;
  private long firstExecutionNanos;
  private boolean responded;
  private Future<?> overdueTimer;

  /**
   * Takes over a request.
   *
   * @param idempotencyKey null if there is none
   * @param body owned by this request from now on
   */
  public OpenRequest(
      ClientRequest clientRequest,
      HttpMethod method,
      String uri,
      String idempotencyKey,
      ByteBuf body,
      ResponseSink responseSink,
      RequestTimeline timeline) {
    this.clientRequest = clientRequest;
    this.method = method;
    this.uri = uri;
    this.idempotencyKey = idempotencyKey;
    this.body = body;
    this.responseSink = responseSink;
    this.timeline = timeline;
  }

  /** The request as the gateway knows it. */
  public ClientRequest clientRequest() {
    return clientRequest;
  }

  /** The id of the request. */
  public String id() {
    return clientRequest.id();
  }

  /** The HTTP method that it is forwarded with. */
  public HttpMethod method() {
    return method;
  }

  /** Path and query that it is forwarded with. */
  public String uri() {
    return uri;
  }

  /** The idempotency key; null if there is none. */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** The body, which stays owned by this request. */
  public ByteBuf body() {
    return body;
  }

  /** When the request passed the stages of its life. */
  public RequestTimeline timeline() {
    return timeline;
  }

  /** How many attempts were started. */
  public int attempts() {
    return attempts;
  }

  /** Whether an attempt has been started and has not ended. */
  public boolean isAttemptInFlight() {
    return attemptInFlight;
  }

  /** Records that an attempt starts. */
  public void startAttempt() {
    attempts++;
    attemptInFlight = true;
    timeline.reach(RequestTimeline.Stage.ATTEMPT_STARTED);
  }

  /**
   * Records that the attempt in flight ended.
   *
   * @param startedAtNanos when it was started, by the gateway's clock
   */
  public void endAttempt(Outcome outcome, long startedAtNanos) {
    attemptInFlight = false;
    timeline.reach(RequestTimeline.Stage.ATTEMPT_ENDED);
    if (!outcome.provesNotExecuted() && !possiblyExecuted) {
      possiblyExecuted = true;
      firstExecutionNanos = startedAtNanos;
    }
  }

  /** Whether an attempt has ended that may have been executed. */
  boolean isPossiblyExecuted() {
    return possiblyExecuted;
  }

  /** When the first attempt that may have been executed was started, by the gateway's clock. */
  long firstExecutionNanos() {
    return firstExecutionNanos;
  }

  /** Whether nothing more is owed to the client. */
  public boolean isResponded() {
    return responded;
  }

  /**
   * Reads the client's connection, and returns whether the client still waits for a response as far
   * as can be known. The client's disconnect may be handled before this returns.
   */
  public boolean readAndCheckClientWaiting() {
    return !responded && !responseSink.readAndCheckDisconnected();
  }

  /**
   * Returns where the final response goes, and marks the request as responded; null if it was so
   * before, since a request has one final response.
   */
  public ResponseSink takeResponseSink() {
    if (responded) {
      return null;
    }
    responded = true;
    return responseSink;
  }

  /** Sets the timer that ends the request if its response is overdue. */
  public void setOverdueTimer(Future<?> timer) {
    overdueTimer = timer;
  }

  /** Releases body and timer; the request must not be used any more. */
  public void release() {
    overdueTimer.cancel(false);
    body.release();
  }
}
