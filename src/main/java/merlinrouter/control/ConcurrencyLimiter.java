package merlinrouter.control;

import merlinrouter.time.EventClock;

/**
 * Holds first attempts back while as many attempts are in flight as the concurrency level allows.
 * Retries are counted and not held back: the retry budget bounds them. A level below 1 is kept on
 * average: after an attempt the limiter pauses, since hundreds of gateways with one attempt in
 * flight each may be too many for a small fleet of endpoints.
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

  /** Whether another first attempt may start now. */
  public boolean permitsFirstAttempt() {
    return inFlight < controller.level() && clock.nowNanos() >= pausedUntilNanos;
  }

  /** Whether as many attempts are in flight as the level allows, or more. */
  public boolean isSaturated() {
    return inFlight >= controller.level();
  }

  /** Counts an attempt that starts. */
  public void acquire() {
    inFlight++;
    if (isSaturated()) {
      controller.markSaturated();
    }
  }

  /** Counts an attempt that ended after some time, in nanoseconds. */
  public void release(long durationNanos) {
    inFlight--;
    double pausePerWork = Math.max(0, 1 / controller.level() - 1);
    pausedUntilNanos = clock.nowNanos() + (long) (durationNanos * pausePerWork);
  }
}
