package merlinrouter.node.downstream;

import java.util.concurrent.TimeUnit;
import merlinrouter.node.request.OpenRequest;

/**
 * The state of a client connection (waiting for a request, receiving one, waiting for its response,
 * or closing), and the time from which its timeouts count.
 */
final class ConnectionState {
  /**
   * How long receiving a whole request may take: from the accept or, on a connection that has
   * received one before, from the request's first byte and again from the end of its head.
   */
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private OpenRequest openRequest;

  /** Whether a request has been received, in part or as a whole, that is not handled yet. */
  private boolean receiving;

  /** Whether at least one whole request has been received. */
  private boolean receivedRequest;

  private boolean closing;
  private long sinceNanos = System.nanoTime();

  /** See {@link TrackedConnection#isClosing}. */
  boolean isClosing() {
    return closing;
  }

  /** See {@link TrackedConnection#hasOpenRequest}. */
  boolean hasOpenRequest() {
    return openRequest != null;
  }

  /** See {@link TrackedConnection#hasReceivedRequest}. */
  boolean hasReceivedRequest() {
    return receivedRequest;
  }

  /** See {@link TrackedConnection#isBetweenRequests}. */
  boolean isBetweenRequests() {
    return openRequest == null && !receiving;
  }

  /** See {@link TrackedConnection#stateSinceNanos}. */
  long sinceNanos() {
    return sinceNanos;
  }

  /** Returns the request that waits for its response; null if there is none. */
  OpenRequest openRequest() {
    return openRequest;
  }

  /** Returns whether a request has been received, in part or as a whole, but not handled yet. */
  boolean isReceiving() {
    return receiving;
  }

  /** Returns whether another request may be received: none is open, and the connection is kept. */
  boolean mayReceive() {
    return openRequest == null && !closing;
  }

  /** Returns whether receiving a request has taken too long. */
  boolean isReceiveTimedOut(long nowNanos) {
    return openRequest == null
        && receiving
        && !closing
        && nowNanos - sinceNanos > REQUEST_TIMEOUT_NANOS;
  }

  /** Returns whether the connection has been idle, or closing, for too long. */
  boolean isIdleTimedOut(long nowNanos) {
    return openRequest == null
        && (closing || !receiving)
        && nowNanos - sinceNanos > IDLE_TIMEOUT_NANOS;
  }

  /** Records that the first bytes, or the whole head, of a request have been received. */
  void startReceiving() {
    receiving = true;
    if (receivedRequest) {
      sinceNanos = System.nanoTime();
    }
  }

  /** Records that the last byte of a request has been received; the request is not handled yet. */
  void completeReceiving() {
    receivedRequest = true;
  }

  /** Records that the received request is open: it waits for its response. */
  void setOpenRequest(OpenRequest request) {
    openRequest = request;
    receiving = false;
  }

  /** Records that the open request was not accepted: it is still to be handled. */
  void clearOpenRequest() {
    openRequest = null;
    receiving = true;
  }

  /**
   * Records that a response is about to be written.
   *
   * @param closes whether the connection closes after it
   */
  void endRequest(boolean closes) {
    closing = closes;
    openRequest = null;
    receiving = false;
    sinceNanos = System.nanoTime();
  }

  /** Records that the connection is being closed. */
  void startClosing() {
    closing = true;
  }

  /**
   * Records that the connection is closed.
   *
   * @return the request that was open on it; null if there was none
   */
  OpenRequest close() {
    OpenRequest abandoned = openRequest;
    openRequest = null;
    closing = true;
    return abandoned;
  }
}
