package merlinrouter.node.transport;

/**
 * One turn (iteration) of an event loop: a poll of its sockets and the work until the next poll.
 * All durations are in nanoseconds.
 *
 * @param endedAtNanos when the next poll began, in {@link System#nanoTime}
 * @param pollOverrunNanos time by which the poll exceeded the time that it was allowed to wait
 * @param socketNanos time spent on socket events
 * @param taskNanos time spent on timers and tasks
 */
public record LoopTurn(long endedAtNanos, long pollOverrunNanos, long socketNanos, long taskNanos) {

  /** Returns how long the event loop could not react to new events. */
  public long stalledNanos() {
    return pollOverrunNanos + socketNanos + taskNanos;
  }

  /** Returns since when the event loop did not react to new events, in {@link System#nanoTime}. */
  public long stalledSinceNanos() {
    return endedAtNanos - stalledNanos();
  }
}
