package merlinrouter.node.counter;

import merlinrouter.model.Outcome;

/**
 * One addition to a counter. Its listener is notified of its end exactly once; after a timeout its
 * response may still be due and keeps its place among the responses of the connection. Used on the
 * event loop only.
 */
final class CounterCall {
  private final long counterKey;
  private final String uri;
  private final CounterListener listener;
  private final long createdAtNanos = System.nanoTime();
  private CounterConnection connection;
  private boolean written;
  private boolean ended;

  CounterCall(long counterKey, String uri, CounterListener listener) {
    this.counterKey = counterKey;
    this.uri = uri;
    this.listener = listener;
  }

  String uri() {
    return uri;
  }

  long ageNanos() {
    return System.nanoTime() - createdAtNanos;
  }

  /** The connection that it was written to; null before that. */
  CounterConnection connection() {
    return connection;
  }

  void attach(CounterConnection to) {
    connection = to;
  }

  boolean isWritten() {
    return written;
  }

  void setWritten(boolean complete) {
    written = complete;
  }

  boolean isEnded() {
    return ended;
  }

  /** Ends it; no effect if it has ended. */
  void end(Outcome outcome, double total) {
    if (!ended) {
      ended = true;
      listener.counterCallEnded(new CounterResult(counterKey, outcome, total));
    }
  }

  /** Ends it because its connection is lost: nothing was added if it was not wholly written. */
  void connectionLost() {
    end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0);
  }

  void timeOut() {
    end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0);
  }
}
