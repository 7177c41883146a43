package merlinrouter.quota;

import java.util.SplittableRandom;
import merlinrouter.model.Outcome;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * Limits the rate of calls to the shared counter, which all gateways load together. The rate adapts
 * to how long calls take. Calls of a higher priority go first: the emptier the token bucket, the
 * higher the priority that a call must have, relative to the mean.
 */
final class CounterCallRateLimiter {
  /** Initial calls per second of all gateways together, well below what a counter bears. */
  private static final double INITIAL_FLEET_CALLS_PER_SECOND = 200;

  /** A gateway begins with at least this many calls per second, whatever the fleet's size. */
  private static final double MIN_INITIAL_CALLS_PER_SECOND = 2;

  /** Calls per second while the counter is silent. */
  private static final double SILENT_CALLS_PER_SECOND = 1;

  /** While calls are answered the rate does not fall below this fraction of its initial value. */
  private static final double MIN_ANSWERED_FRACTION = 1.0 / 4;

  private static final double MIN_UNANSWERED_CALLS_PER_SECOND = 1;

  /**
   * Relative change of the rate per second at an unloaded counter. Changes are weighted with the
   * time that they stand for, so that single late answers do not stop the calls.
   */
  private static final double GAIN_PER_SECOND = 1;

  /** The same in slow start, which ends with the first slow call. */
  private static final double SLOW_START_GAIN_PER_SECOND = 6;

  /** It grows with the calls that take no more than three quarters of the target. */
  private static final double SLOW_START_MIN_DEVIATION = 0.25;

  /** In this time the gateway's own start delays calls, which says nothing of the counter. */
  private static final long STARTUP_NANOS = Nanos.PER_SECOND;

  /** The rate is steady where calls take this fraction of their timeout. */
  private static final double TARGET_TIMEOUT_FRACTION = 0.5;

  /** Bound on how strongly a slow call lowers the rate. */
  private static final double MAX_SLOW_DEVIATION = 2;

  /** A rejected call counts as one that took its whole timeout. */
  private static final double REJECTED_TIMEOUT_FRACTION = 1;

  /** Tokens that may be saved: the calls of this time. */
  private static final long BURST_NANOS = Nanos.PER_SECOND / 4;

  /** A change of the rate stands for this time at most, however long ago the last one was. */
  private static final long MAX_ADJUSTMENT_NANOS = Nanos.PER_SECOND / 4;

  private static final double MIN_CAPACITY_CALLS = 2 * MIN_INITIAL_CALLS_PER_SECOND;

  /** The priority, relative to the mean, that a call needs when the bucket is empty. */
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
    // Gateways that start together must not call together.
    tokens = random.nextDouble(callsPerSecond);
    startedAtNanos = clock.nowNanos();
    refilledAtNanos = startedAtNanos;
  }

  /** Returns a priority relative to the mean of all so far, to which it is added first. */
  double normalizePriority(double priority) {
    meanPriority += PRIORITY_SAMPLE_WEIGHT * (priority - meanPriority);
    return priority / Math.max(MIN_MEAN_PRIORITY, meanPriority);
  }

  /** Takes a token for a call with a relative priority; false if it must not be made. */
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
   * Adapts the rate to a call that ended. A connection that broke says nothing of the counter's
   * load. The rate rises only where it has kept calls back.
   */
  void callEnded(Outcome outcome, long durationNanos, long timeoutNanos) {
    boolean answered = outcome == Outcome.OK;
    double timeoutFraction =
        outcome == Outcome.REJECTED
            ? REJECTED_TIMEOUT_FRACTION
            : durationNanos / (double) timeoutNanos;
    boolean inStartup = answered && clock.nanosSince(startedAtNanos) < STARTUP_NANOS;
    boolean slow = timeoutFraction > TARGET_TIMEOUT_FRACTION;
    if (!inStartup && (slow || answered && deniedSinceAdjustment)) {
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
