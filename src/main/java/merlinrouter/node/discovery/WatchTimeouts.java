package merlinrouter.node.discovery;

/**
 * How soon watches are replaced.
 *
 * @param maxBackoffMillis maximum pause after a watch that ended
 * @param responseTimeoutMillis time after which a watch without a response has another one opened
 *     beside it
 */
record WatchTimeouts(long maxBackoffMillis, long responseTimeoutMillis) {
  /**
   * A local agent pushes the list; it responds at once, and watches cost nothing. After its restart
   * a change has to be received within the second that is allowed for draining; half of that is
   * left for the response.
   */
  private static final WatchTimeouts PUSHED = new WatchTimeouts(250, 500);

  /**
   * Watches load a discovery that has to be polled, so they are opened less often. A change has to
   * be received within 6 s: after 3 s of silence, a pause and a call without a response there is
   * time for another call.
   */
  private static final WatchTimeouts POLLED = new WatchTimeouts(500, 1_000);

  /** Returns the timeouts for a list that must be subscribed to, or for one that is pushed. */
  static WatchTimeouts of(boolean endpointSubscription) {
    return endpointSubscription ? POLLED : PUSHED;
  }
}
