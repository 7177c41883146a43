package merlinrouter.node.counter;

import merlinrouter.model.Outcome;

/**
 * A call that adds an amount to a counter. Its listener is notified exactly once, when the call
 * ends. A call that was written keeps its position in its connection's queue after a timeout, since
 * its response may still be received. Used on the event loop only.
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

  /** Returns the connection that the call was passed to for writing; null before that. */
  CounterConnection connection() {
    return connection;
  }

  void attach(CounterConnection newConnection) {
    connection = newConnection;
  }

  boolean isWritten() {
    return written;
  }

  void setWritten(boolean wasWritten) {
    written = wasWritten;
  }

  boolean isEnded() {
    return ended;
  }

  /** Ends the call; has no effect if it has ended already. */
  void end(Outcome outcome, double total) {
    if (!ended) {
      ended = true;
      listener.counterCallEnded(new CounterResult(counterKey, outcome, total));
    }
  }

  /**
   * Ends the call because its connection is lost; nothing was added unless it was fully written.
   */
  void connectionLost() {
    end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0);
  }

  void timeOut() {
    end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0);
  }
}
