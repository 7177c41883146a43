package merlinrouter.node;

import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.settings.RequestClass;

/**
 * Limits the deadlines of requests during a graceful shutdown: the process may be killed when the
 * longest deadline of a request class and a margin have passed since SIGTERM, and requests that are
 * open then get no response.
 */
final class ShutdownDeadline {
  /** If the longest deadline exceeds this, it counts as this. */
  private static final long MAX_LONGEST_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long KILL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Total allowance for late handling of the signal and for stalls of the event loop. */
  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final long maxShutdownNanos;
  private long latestNanos = Long.MAX_VALUE;

  /** Creates a limit that does not apply before {@link #shutdownStarted}. */
  ShutdownDeadline(List<RequestClass> requestClasses) {
    long longestNanos =
        requestClasses.stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    maxShutdownNanos =
        Math.min(longestNanos, MAX_LONGEST_DEADLINE_NANOS) + KILL_MARGIN_NANOS - MAX_DELAY_NANOS;
  }

  /** Starts limiting deadlines, unless the shutdown has already started. */
  void shutdownStarted(long nowNanos) {
    latestNanos = Math.min(latestNanos, nowNanos + maxShutdownNanos);
  }

  /** Returns how long after the start of a shutdown all responses are due. */
  long maxShutdownNanos() {
    return maxShutdownNanos;
  }

  /** Returns the deadline, or the time by which all responses are due if that is earlier. */
  long limit(long deadlineNanos) {
    return Math.min(deadlineNanos, latestNanos);
  }
}
