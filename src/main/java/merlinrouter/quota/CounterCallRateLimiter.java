package merlinrouter.quota;

import java.util.SplittableRandom;
import merlinrouter.model.Outcome;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * Limits the rate of calls to the shared counter, which all gateways load together. The rate adapts
 * to how long calls take. Calls with more at stake go first: the emptier the token bucket, the
 * higher the stake that a call must have, relative to the mean.
 */
final class CounterCallRateLimiter {
  /** Initial calls per second of all gateways together; a fifth of what a counter must bear. */
  private static final double INITIAL_FLEET_CALLS_PER_SECOND = 200;

  /** A gateway begins with at least this many calls per second, whatever the fleet's size. */
  private static final double MIN_INITIAL_CALLS_PER_SECOND = 2;

  /** Calls per second while the counter is silent. */
  private static final double SILENT_CALLS_PER_SECOND = 1;

  /** While calls are answered the rate does not fall below this part of its initial value. */
  private static final double MIN_ANSWERED_FRACTION = 1.0 / 4;

  private static final double MIN_UNANSWERED_CALLS_PER_SECOND = 1;

  /**
   * Relative change of the rate per second at an unloaded counter. Changes are weighted with the
   * time that they stand for, so that single late answers do not stop the calls.
   */
  private static final double GAIN_PER_SECOND = 1;

  /** The rate is steady where calls take this part of their timeout. */
  private static final double TARGET_TIMEOUT_FRACTION = 0.5;

  /** Bound on how strongly a slow call lowers the rate. */
  private static final double MAX_SLOWDOWN = 2;

  /** A rejected call counts as one that took its whole timeout. */
  private static final double REJECTED_TIMEOUT_FRACTION = 1;

  /** Tokens that may be saved: the calls of this time. */
  private static final long BURST_NANOS = QuotaAccount.REPORT_INTERVAL_NANOS;

  private static final double STAKE_WEIGHT = 0.02;
  private static final double MIN_MEAN_STAKE = 1e-9;

  private final EventClock clock;
  private final CounterHealth health;
  private final double initialCallsPerSecond;
  private double callsPerSecond;
  private double tokens;
  private long refilledAtNanos;
  private long adjustedAtNanos;
  private boolean deniedSinceAdjustment;
  private double meanStake;

  CounterCallRateLimiter(
      int gatewayCount, CounterHealth health, EventClock clock, SplittableRandom random) {
    this.clock = clock;
    this.health = health;
    initialCallsPerSecond =
        Math.max(MIN_INITIAL_CALLS_PER_SECOND, INITIAL_FLEET_CALLS_PER_SECOND / gatewayCount);
    callsPerSecond = initialCallsPerSecond;
    // Gateways that start together must not call together.
    tokens = random.nextDouble(callsPerSecond);
    refilledAtNanos = clock.nowNanos();
  }

  /** Returns a stake relative to the mean of all stakes so far, and adds it to that. */
  double relativeStake(double stake) {
    meanStake += STAKE_WEIGHT * (stake - meanStake);
    return stake / Math.max(MIN_MEAN_STAKE, meanStake);
  }

  /** Takes a token for a call with a relative stake; false if the call must not be made. */
  boolean tryAcquire(double relativeStake) {
    double rate = health.isSilent() ? SILENT_CALLS_PER_SECOND : callsPerSecond;
    double capacity =
        Math.max(2 * MIN_INITIAL_CALLS_PER_SECOND, rate * BURST_NANOS * Nanos.IN_SECONDS);
    double refill = rate * clock.nanosSince(refilledAtNanos) * Nanos.IN_SECONDS;
    tokens = Math.min(capacity, tokens + refill);
    refilledAtNanos = clock.nowNanos();
    double requiredStake = 2 * (1 - tokens / capacity);
    if (tokens >= 1 && relativeStake >= requiredStake) {
      tokens--;
      return true;
    }
    deniedSinceAdjustment |= relativeStake >= 1;
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
    if (timeoutFraction > TARGET_TIMEOUT_FRACTION || answered && deniedSinceAdjustment) {
      adjust(timeoutFraction, answered);
    }
  }

  private void adjust(double timeoutFraction, boolean answered) {
    double seconds =
        Nanos.toSeconds(
            Math.min(QuotaAccount.REPORT_INTERVAL_NANOS, clock.nanosSince(adjustedAtNanos)));
    double deviation = Math.max(-MAX_SLOWDOWN, 1 - timeoutFraction / TARGET_TIMEOUT_FRACTION);
    double min =
        answered ? initialCallsPerSecond * MIN_ANSWERED_FRACTION : MIN_UNANSWERED_CALLS_PER_SECOND;
    callsPerSecond *= Math.exp(GAIN_PER_SECOND * seconds * deviation);
    callsPerSecond = Math.max(min, callsPerSecond);
    deniedSinceAdjustment = false;
    adjustedAtNanos = clock.nowNanos();
  }
}
