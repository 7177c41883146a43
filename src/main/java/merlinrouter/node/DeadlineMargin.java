package merlinrouter.node;

import java.util.concurrent.TimeUnit;

/**
 * The margin by which a gateway's deadlines are earlier than the clients', so that the final
 * response is written before the client gives up.
 */
final class DeadlineMargin {
  /** Time to write a response. */
  private static final long RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(12);

  /** Work of the processor that may come first: a collection of the young generation. */
  private static final long STALL_WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(24);

  /** The stall takes at most one in so many parts of a client's time, or little would be left. */
  private static final int TIMEOUT_PER_STALL = 4;

  private static final long MIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final long stallNanos;

  /** Creates the margin of a process with a part of a core, from above 0 to 1. */
  DeadlineMargin(double cores) {
    stallNanos = (long) (STALL_WORK_NANOS / cores);
  }

  /**
   * The deadline that the gateway is given.
   *
   * @param arrivedAtNanos when the request arrived, by the gateway's clock
   * @param timeoutNanos how long its client waits from then
   */
  long deadlineNanos(long arrivedAtNanos, long timeoutNanos) {
    long marginNanos =
        Math.max(RESPONSE_NANOS, Math.min(stallNanos, timeoutNanos / TIMEOUT_PER_STALL));
    return arrivedAtNanos + Math.max(MIN_TIMEOUT_NANOS, timeoutNanos - marginNanos);
  }
}
