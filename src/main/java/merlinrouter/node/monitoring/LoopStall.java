package merlinrouter.node.monitoring;

import merlinrouter.node.transport.LoopTurn;
import merlinrouter.time.Nanos;

/**
 * A turn of the event loop that was long enough to delay responses.
 *
 * @param turn the turn
 * @param threads what the process's threads used meanwhile, for a log line
 */
record LoopStall(LoopTurn turn, String threads) {

  /** Whether a part of a span of time, in {@link System#nanoTime}, fell into this stall. */
  boolean overlaps(long fromNanos, long toNanos) {
    return turn.endedAtNanos() - fromNanos > 0 && toNanos - turn.stalledSinceNanos() > 0;
  }

  /** The stall's length and parts in milliseconds, for a log line. */
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
