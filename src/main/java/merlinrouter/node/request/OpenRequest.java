package merlinrouter.node.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;

/**
 * An accepted request: what is forwarded to endpoints, its attempts so far, and whether its client
 * is still owed a response. Used on the event loop only.
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
   * Creates an open request.
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

  /** Returns the attributes that the gateway bases its decisions on. */
  public ClientRequest clientRequest() {
    return clientRequest;
  }

  /** Returns the id of the request. */
  public String id() {
    return clientRequest.id();
  }

  /** Returns the HTTP method that it is forwarded with. */
  public HttpMethod method() {
    return method;
  }

  /** Returns the path and query that it is forwarded with. */
  public String uri() {
    return uri;
  }

  /** Returns the idempotency key; null if there is none. */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** Returns the body, which this request still owns. */
  public ByteBuf body() {
    return body;
  }

  /** Returns the times at which the request reached its stages. */
  public RequestTimeline timeline() {
    return timeline;
  }

  /** Returns how many attempts were started. */
  public int attempts() {
    return attempts;
  }

  /** Returns whether an attempt has been started and has not ended. */
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

  /** Returns whether an ended attempt may have been executed. */
  boolean isPossiblyExecuted() {
    return possiblyExecuted;
  }

  /**
   * Returns when the first attempt that may have been executed was started, by the gateway's clock.
   */
  long firstExecutionNanos() {
    return firstExecutionNanos;
  }

  /** Returns whether no response is owed any more: one was sent, or the client disconnected. */
  public boolean isResponded() {
    return responded;
  }

  /**
   * Reads the client's connection, and returns whether the client is still waiting for a response,
   * as far as can be detected. The client's disconnect may be handled before this returns.
   */
  public boolean readAndCheckClientWaiting() {
    return !responded && !responseSink.readAndCheckDisconnected();
  }

  /**
   * Returns the sink for the final response, and marks the request as responded; null if it was
   * marked before, because a request has only one final response.
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

  /** Releases the body and cancels the timer; the request must not be used after this. */
  public void release() {
    if (overdueTimer != null) {
      overdueTimer.cancel(false);
    }
    body.release();
  }
}
