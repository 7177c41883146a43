package merlinrouter.retry;

import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * Time limits of a request: when it is too late for a first attempt, and how long an attempt may
 * take.
 */
public final class DeadlinePolicy {
  /** Time reserved for a first attempt, as a multiple of its expected service time. */
  private static final double SERVICE_TIME_MARGIN = 1.5;

  /** One interval until the next check, and another in reserve because that check may be late. */
  private static final int TIMER_INTERVALS_NEEDED = 2;

  private static final long MIN_ATTEMPT_TIMEOUT_NANOS = Nanos.PER_MILLI;

  private final EventClock clock;
  private final long minNeededNanos;

  /**
   * Creates a policy.
   *
   * @param timerIntervalNanos interval between checks of the queued requests; a request that would
   *     expire between two checks must get its final response at the first of them
   */
  public DeadlinePolicy(GatewaySettings settings, EventClock clock, long timerIntervalNanos) {
    this.clock = clock;
    minNeededNanos = TIMER_INTERVALS_NEEDED * timerIntervalNanos + settings.eventIntervalNanos();
  }

  /**
   * Returns whether it is too late for a first attempt to meet the request's latency objective.
   *
   * @param objectiveAtNanos time until which a response earns the full value
   * @param expectedServiceSeconds expected service time of the attempt
   */
  public boolean cannotMeetObjective(long objectiveAtNanos, double expectedServiceSeconds) {
    long serviceNanos = (long) (SERVICE_TIME_MARGIN * expectedServiceSeconds * Nanos.PER_SECOND);
    return clock.nowNanos() + Math.max(serviceNanos, minNeededNanos) >= objectiveAtNanos;
  }

  /**
   * Returns the timeout of an attempt that starts now: the time for which a response still earns
   * any value, but at least 1 ms.
   */
  public long attemptTimeoutNanos(
      RequestClass requestClass, long objectiveAtNanos, long deadlineNanos) {
    boolean lateIsWorthless = requestClass.lateValueFraction() <= 0;
    long untilNanos = lateIsWorthless ? objectiveAtNanos : deadlineNanos;
    return Math.max(MIN_ATTEMPT_TIMEOUT_NANOS, untilNanos - clock.nowNanos());
  }
}
