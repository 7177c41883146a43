package merlinrouter.node.discovery;

/**
 * Delays after which a watch is replaced, or another one is opened beside it.
 *
 * @param maxBackoffMillis maximum delay between the end of a watch and the next one
 * @param hedgingDelayMillis time without a response, or without a further part of an incomplete
 *     list, after which another watch is opened beside those that are open
 */
record WatchTimeouts(long maxBackoffMillis, long hedgingDelayMillis) {
  /**
   * For a list that a local agent pushes. The agent responds immediately, and watches do not load
   * it. After a restart of the agent, a change must be received within the 1 s that is allowed for
   * draining; half of that is left for the response.
   */
  private static final WatchTimeouts PUSHED = new WatchTimeouts(250, 500);

  /**
   * For a list that must be polled. Watches load discovery, so they are opened less often. A change
   * must be received within 6 s: after 3 s of silence, a backoff and a watch without a response,
   * there is time for another watch.
   */
  private static final WatchTimeouts POLLED = new WatchTimeouts(500, 1_000);

  /** Returns the timeouts for a list that must be subscribed to or for one that is pushed. */
  static WatchTimeouts of(boolean endpointSubscription) {
    return endpointSubscription ? POLLED : PUSHED;
  }
}
