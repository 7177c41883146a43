package merlinrouter.control;

import merlinrouter.time.EventClock;

/**
 * Delays first attempts while the number of attempts in flight has reached the concurrency level.
 * Retries are counted but not delayed, because the retry budget limits them. A level below 1 is met
 * on average, by a pause after each attempt: with hundreds of gateways, one attempt in flight per
 * gateway may be too many for a small fleet of endpoints.
 */
public final class ConcurrencyLimiter {
  private final ConcurrencyController controller;
  private final EventClock clock;
  private int inFlight;
  private long pausedUntilNanos;

  /** Creates a limiter with nothing in flight. */
  public ConcurrencyLimiter(ConcurrencyController controller, EventClock clock) {
    this.controller = controller;
    this.clock = clock;
  }

  /** Returns whether another first attempt may start now. */
  public boolean permitsFirstAttempt() {
    return inFlight < controller.level() && clock.nowNanos() >= pausedUntilNanos;
  }

  /** Returns whether the number of attempts in flight has reached the concurrency level. */
  public boolean isSaturated() {
    return inFlight >= controller.level();
  }

  /** Records the start of an attempt. */
  public void acquire() {
    inFlight++;
    if (isSaturated()) {
      controller.markSaturated();
    }
  }

  /**
   * Records the end of an attempt; starts a pause in proportion to its duration at levels below 1.
   */
  public void release(long durationNanos) {
    inFlight--;
    double pausePerDuration = Math.max(0, 1 / controller.level() - 1);
    pausedUntilNanos = clock.nowNanos() + (long) (durationNanos * pausePerDuration);
  }
}
