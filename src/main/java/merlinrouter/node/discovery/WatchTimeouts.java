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
   * An agent pushes the list and answers at once, free of charge. An agent that comes back counts
   * what it holds as delivered; half of the second that draining allows is left for that.
   */
  private static final WatchTimeouts PUSHED = new WatchTimeouts(250, 500);

  /**
   * A discovery that must be asked is spared. Yet whatever calls fail, a change counts as delivered
   * 6 s after discovery had it and could be reached: there is time for another call behind a
   * silence of 3 s, a pause and a call without a response.
   */
  private static final WatchTimeouts POLLED = new WatchTimeouts(500, 1_000);

  /** Returns the timeouts for a list that must be subscribed to, or for one that is pushed. */
  static WatchTimeouts of(boolean endpointSubscription) {
    return endpointSubscription ? POLLED : PUSHED;
  }
}
