package merlinrouter.quota;

import java.util.SplittableRandom;
import merlinrouter.model.Outcome;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * Token bucket that limits the rate of this gateway's calls to the shared counter, which serves all
 * gateways. The rate adapts to the duration of calls. Calls with a higher priority are preferred:
 * the emptier the bucket, the higher the priority, relative to the mean, that a call needs.
 */
final class CounterCallRateLimiter {
  /** Initial rate of all gateways together, well below the capacity of a counter. */
  private static final double INITIAL_FLEET_CALLS_PER_SECOND = 200;

  /** Lower bound on the initial rate of one gateway, independent of the size of the fleet. */
  private static final double MIN_INITIAL_CALLS_PER_SECOND = 2;

  /** Rate of one gateway while the counter is silent. */
  private static final double SILENT_CALLS_PER_SECOND = 1;

  /** Lower bound on the rate while calls are answered, as a fraction of the initial rate. */
  private static final double MIN_ANSWERED_FRACTION = 1.0 / 4;

  /** Lower bound on the rate while calls are not answered. */
  private static final double MIN_UNANSWERED_CALLS_PER_SECOND = 1;

  /**
   * Gain of the rate control: relative increase of the rate per second at an unloaded counter,
   * where calls take next to no time. Each adjustment is weighted with the time since the last one,
   * so that single late answers do not stop the calls.
   */
  private static final double GAIN_PER_SECOND = 1;

  /** The gain in slow start, which ends with the first slow call. */
  private static final double SLOW_START_GAIN_PER_SECOND = 6;

  /**
   * Smallest deviation at which the slow-start gain applies: the call takes at most three quarters
   * of the target duration.
   */
  private static final double SLOW_START_MIN_DEVIATION = 0.25;

  /**
   * Answered calls that end within this time after the start do not change the rate: the start of
   * the gateway delays them, not the load of the counter.
   */
  private static final long STARTUP_NANOS = Nanos.PER_SECOND;

  /** Target duration of a call, as a fraction of its timeout; it leaves the rate unchanged. */
  private static final double TARGET_TIMEOUT_FRACTION = 0.5;

  /** Bound on the deviation of a slow call from the target, and so on the decrease of the rate. */
  private static final double MAX_SLOW_DEVIATION = 2;

  /** A rejected call counts as a call that took its whole timeout. */
  private static final double REJECTED_TIMEOUT_FRACTION = 1;

  /**
   * Capacity of the bucket: the calls of this time at the current rate, but at least {@link
   * #MIN_CAPACITY_CALLS}.
   */
  private static final long BURST_NANOS = Nanos.PER_SECOND / 4;

  /** Upper bound on the weight of an adjustment, which is otherwise the time since the last one. */
  private static final long MAX_ADJUSTMENT_NANOS = Nanos.PER_SECOND / 4;

  private static final double MIN_CAPACITY_CALLS = 2 * MIN_INITIAL_CALLS_PER_SECOND;

  /** Priority, relative to the mean, that a call needs when the bucket is empty. */
  private static final double MAX_REQUIRED_PRIORITY = 2;

  private static final double PRIORITY_SAMPLE_WEIGHT = 0.02;
  private static final double MIN_MEAN_PRIORITY = 1e-9;

  private final EventClock clock;
  private final CounterHealth health;
  private final double initialCallsPerSecond;
  private final long startedAtNanos;
  private double callsPerSecond;
  private double tokens;
  private long refilledAtNanos;
  private long adjustedAtNanos;
  private boolean deniedSinceAdjustment;
  private boolean slowStart = true;
  private double meanPriority;

  CounterCallRateLimiter(
      int gatewayCount, CounterHealth health, EventClock clock, SplittableRandom random) {
    this.clock = clock;
    this.health = health;
    initialCallsPerSecond =
        Math.max(MIN_INITIAL_CALLS_PER_SECOND, INITIAL_FLEET_CALLS_PER_SECOND / gatewayCount);
    callsPerSecond = initialCallsPerSecond;
    // A random number of tokens keeps gateways that start together from calling together.
    tokens = random.nextDouble(callsPerSecond);
    startedAtNanos = clock.nowNanos();
    refilledAtNanos = startedAtNanos;
  }

  /** Adds a priority to the moving average and returns it relative to the average. */
  double normalizePriority(double priority) {
    meanPriority += PRIORITY_SAMPLE_WEIGHT * (priority - meanPriority);
    return priority / Math.max(MIN_MEAN_PRIORITY, meanPriority);
  }

  /** Takes a token for a call; returns false if the call must not be made. */
  boolean tryAcquire(double relativePriority) {
    double rate = health.isSilent() ? SILENT_CALLS_PER_SECOND : callsPerSecond;
    double capacity = Math.max(MIN_CAPACITY_CALLS, rate * BURST_NANOS * Nanos.IN_SECONDS);
    double refill = rate * clock.nanosSince(refilledAtNanos) * Nanos.IN_SECONDS;
    tokens = Math.min(capacity, tokens + refill);
    refilledAtNanos = clock.nowNanos();
    double requiredPriority = MAX_REQUIRED_PRIORITY * (1 - tokens / capacity);
    if (tokens >= 1 && relativePriority >= requiredPriority) {
      tokens--;
      return true;
    }
    deniedSinceAdjustment |= relativePriority >= 1;
    return false;
  }

  /**
   * Adapts the rate to the duration of a call that ended. A call without a response while the
   * counter is silent says nothing about the load that it bears later. A failure within the target
   * duration other than a rejection, such as a broken connection, does not indicate load and is
   * ignored. The rate increases only if a call of at least mean priority was denied since the last
   * adjustment.
   */
  void callEnded(Outcome outcome, long durationNanos, long timeoutNanos) {
    boolean answered = outcome == Outcome.OK;
    double timeoutFraction =
        outcome == Outcome.REJECTED
            ? REJECTED_TIMEOUT_FRACTION
            : durationNanos / (double) timeoutNanos;
    boolean inStartup = answered && clock.nanosSince(startedAtNanos) < STARTUP_NANOS;
    boolean slow = timeoutFraction > TARGET_TIMEOUT_FRACTION;
    boolean rejected = outcome == Outcome.REJECTED;
    boolean lostInSilence = health.isSilent() && !answered && !rejected;
    if (!inStartup && !lostInSilence && (slow || answered && deniedSinceAdjustment)) {
      adjust(timeoutFraction, answered);
    }
  }

  private void adjust(double timeoutFraction, boolean answered) {
    double seconds =
        Nanos.toSeconds(Math.min(MAX_ADJUSTMENT_NANOS, clock.nanosSince(adjustedAtNanos)));
    double deviation = Math.max(-MAX_SLOW_DEVIATION, 1 - timeoutFraction / TARGET_TIMEOUT_FRACTION);
    double min =
        answered ? initialCallsPerSecond * MIN_ANSWERED_FRACTION : MIN_UNANSWERED_CALLS_PER_SECOND;
    slowStart &= answered && deviation >= 0;
    boolean fast = deviation >= SLOW_START_MIN_DEVIATION;
    double gainPerSecond = slowStart && fast ? SLOW_START_GAIN_PER_SECOND : GAIN_PER_SECOND;
    callsPerSecond *= Math.exp(gainPerSecond * seconds * deviation);
    callsPerSecond = Math.max(min, callsPerSecond);
    deniedSinceAdjustment = false;
    adjustedAtNanos = clock.nowNanos();
  }
}
