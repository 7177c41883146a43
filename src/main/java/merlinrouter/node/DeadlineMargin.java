package merlinrouter.node;

import java.util.concurrent.TimeUnit;

/**
 * The margin by which a gateway's deadlines are earlier than the clients', so that the final
 * response is written before the client stops waiting.
 */
final class DeadlineMargin {
  /** Time to write a response. */
  private static final long RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(12);

  /** CPU time of one collection of the young generation, which may delay the response. */
  private static final long STALL_CPU_NANOS = TimeUnit.MILLISECONDS.toNanos(24);

  /** The allowance for a stall is at most a quarter of the client's timeout. */
  private static final int MAX_STALL_DIVISOR = 4;

  private static final long MIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final long stallNanos;

  /** Creates the margin of a process that may use some CPU cores, from above 0 to 1. */
  DeadlineMargin(double cores) {
    stallNanos = (long) (STALL_CPU_NANOS / cores);
  }

  /**
   * The deadline that the gateway is given.
   *
   * @param arrivedAtNanos when the request arrived, by the gateway's clock
   * @param timeoutNanos how long its client waits from then
   */
  long deadlineNanos(long arrivedAtNanos, long timeoutNanos) {
    long marginNanos =
        Math.max(RESPONSE_NANOS, Math.min(stallNanos, timeoutNanos / MAX_STALL_DIVISOR));
    return arrivedAtNanos + Math.max(MIN_TIMEOUT_NANOS, timeoutNanos - marginNanos);
  }
}
