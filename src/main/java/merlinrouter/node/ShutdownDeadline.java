package merlinrouter.node;

import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.settings.RequestClass;

/**
 * Limits deadlines during a graceful shutdown: the process may be killed when the longest deadline
 * of a request and a margin have passed since SIGTERM, and what is open then gets no response.
 */
final class ShutdownDeadline {
  /** The longest deadline counts as this where it is longer. */
  private static final long MAX_LONGEST_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long KILL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** By so much in all the signal may be noticed late and the event loop be stalled. */
  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final long maxShutdownNanos;
  private long latestNanos = Long.MAX_VALUE;

  /** Creates the limit of a node that is not shutting down. */
  ShutdownDeadline(List<RequestClass> requestClasses) {
    long longestNanos =
        requestClasses.stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    maxShutdownNanos =
        Math.min(longestNanos, MAX_LONGEST_DEADLINE_NANOS) + KILL_MARGIN_NANOS - MAX_DELAY_NANOS;
  }

  /** Starts to limit deadlines, unless it does. */
  void shutdownStarted(long nowNanos) {
    latestNanos = Math.min(latestNanos, nowNanos + maxShutdownNanos);
  }

  /** The deadline, or the moment by which all requests must have their responses if earlier. */
  long limit(long deadlineNanos) {
    return Math.min(deadlineNanos, latestNanos);
  }
}
