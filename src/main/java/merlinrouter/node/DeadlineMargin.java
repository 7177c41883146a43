package merlinrouter.node;

import java.util.concurrent.TimeUnit;

/**
 * The margin by which a gateway's deadlines are earlier than the clients', so that the final
 * response is written before the client stops waiting.
 */
final class DeadlineMargin {
  /** Time allowed for writing a response. */
  private static final long RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(12);

  /** CPU time of one young-generation garbage collection, which may delay the response. */
  private static final long STALL_CPU_NANOS = TimeUnit.MILLISECONDS.toNanos(24);

  /** The allowance for a stall is at most a quarter of the client's timeout. */
  private static final int MAX_STALL_DIVISOR = 4;

  /** The gateway's deadline is at least this long after the arrival, however short the timeout. */
  private static final long MIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final long stallNanos;

  /**
   * Creates the margin of a process.
   *
   * @param cores the fraction of a CPU core that the process may use, above 0 and up to 1
   */
  DeadlineMargin(double cores) {
    stallNanos = (long) (STALL_CPU_NANOS / cores);
  }

  /**
   * Returns the deadline that the gateway applies to a request.
   *
   * @param arrivedAtNanos when the request arrived, by the gateway's clock
   * @param timeoutNanos how long its client waits from then on
   */
  long deadlineNanos(long arrivedAtNanos, long timeoutNanos) {
    long marginNanos =
        Math.max(RESPONSE_NANOS, Math.min(stallNanos, timeoutNanos / MAX_STALL_DIVISOR));
    return arrivedAtNanos + Math.max(MIN_TIMEOUT_NANOS, timeoutNanos - marginNanos);
  }
}
