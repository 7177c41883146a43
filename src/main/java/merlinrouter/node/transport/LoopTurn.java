package merlinrouter.node.transport;

/**
 * One turn of an event loop: a poll of its sockets and what was done until the next one. All
 * durations are in nanoseconds.
 *
 * @param endedAtNanos when the next poll began, in {@link System#nanoTime}
 * @param pollOverrunNanos how long the poll lasted beyond the time that it was allowed to wait
 * @param socketNanos how long the sockets' events were handled
 * @param taskNanos how long timers and tasks were run
 */
public record LoopTurn(long endedAtNanos, long pollOverrunNanos, long socketNanos, long taskNanos) {

  /** How long the event loop could not react to a new event. */
  public long stalledNanos() {
    return pollOverrunNanos + socketNanos + taskNanos;
  }

  /** When the event loop ceased to react to new events, in {@link System#nanoTime}. */
  public long stalledSinceNanos() {
    return endedAtNanos - stalledNanos();
  }
}
