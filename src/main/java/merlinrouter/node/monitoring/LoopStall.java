package merlinrouter.node.monitoring;

import merlinrouter.node.transport.LoopTurn;
import merlinrouter.time.Nanos;

/**
 * A turn of the event loop that was long enough to delay responses.
 *
 * @param turn the turn
 * @param threads the recent CPU times of the process's threads, as text for a log line
 */
record LoopStall(LoopTurn turn, String threads) {

  /** Returns whether a time span, in {@link System#nanoTime}, overlaps this stall. */
  boolean overlaps(long fromNanos, long toNanos) {
    return turn.endedAtNanos() - fromNanos > 0 && toNanos - turn.stalledSinceNanos() > 0;
  }

  /** Returns the stall's duration and its parts in milliseconds, for a log line. */
  String describe() {
    return millis(turn.stalledNanos())
        + " ms (overslept "
        + millis(turn.pollOverrunNanos())
        + ", sockets "
        + millis(turn.socketNanos())
        + ", tasks "
        + millis(turn.taskNanos())
        + "; "
        + threads
        + ")";
  }

  private static long millis(long nanos) {
    return nanos / Nanos.PER_MILLI;
  }
}
