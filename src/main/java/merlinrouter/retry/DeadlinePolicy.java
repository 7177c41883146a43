package merlinrouter.retry;

import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * The time limits of a request: when it is too late to be sent, and how long an attempt may take.
 */
public final class DeadlinePolicy {
  /** An attempt is given this many times its expected service time. */
  private static final double SERVICE_TIME_MARGIN = 1.5;

  /** Two, since a request that expires right after a check is seen at the next but one at worst. */
  private static final int TIMER_INTERVALS_NEEDED = 2;

  private static final long MIN_ATTEMPT_TIMEOUT_NANOS = Nanos.PER_MILLI;

  private final EventClock clock;
  private final long minNeededNanos;

  /**
   * Creates a policy.
   *
   * @param timerIntervalNanos how often queued requests are looked at; a request that expires
   *     between two checks has to be answered at the first
   */
  public DeadlinePolicy(GatewaySettings settings, EventClock clock, long timerIntervalNanos) {
    this.clock = clock;
    minNeededNanos = TIMER_INTERVALS_NEEDED * timerIntervalNanos + settings.eventIntervalNanos();
  }

  /**
   * Whether a request that has not been attempted cannot be served within its latency objective.
   *
   * @param objectiveAtNanos moment up to which a response earns the full value
   * @param expectedServiceSeconds expected service time of its attempt
   */
  public boolean cannotMeetObjective(long objectiveAtNanos, double expectedServiceSeconds) {
    long serviceNanos = (long) (SERVICE_TIME_MARGIN * expectedServiceSeconds * Nanos.PER_SECOND);
    return clock.nowNanos() + Math.max(serviceNanos, minNeededNanos) >= objectiveAtNanos;
  }

  /** How long an attempt may take: no longer than a response has any value. */
  public long attemptTimeoutNanos(
      RequestClass requestClass, long objectiveAtNanos, long deadlineNanos) {
    boolean lateIsWorthless = requestClass.lateValueFraction() <= 0;
    long untilNanos = lateIsWorthless ? objectiveAtNanos : deadlineNanos;
    return Math.max(MIN_ATTEMPT_TIMEOUT_NANOS, untilNanos - clock.nowNanos());
  }
}
