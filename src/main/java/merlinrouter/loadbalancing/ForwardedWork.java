package merlinrouter.loadbalancing;

import merlinrouter.time.EventClock;

/** The rate at which this gateway forwards work, in seconds of expected service per second. */
final class ForwardedWork {
  private static final double TIME_CONSTANT_SECONDS = 4;

  private final EventClock clock;
  private double workPerSecond;
  private long updatedAtNanos;

  ForwardedWork(EventClock clock) {
    this.clock = clock;
  }

  /** Adds a forwarded request. */
  void record(double expectedServiceSeconds) {
    double decay = Math.exp(-clock.secondsSince(updatedAtNanos) / TIME_CONSTANT_SECONDS);
    workPerSecond = workPerSecond * decay + expectedServiceSeconds / TIME_CONSTANT_SECONDS;
    updatedAtNanos = clock.nowNanos();
  }

  /** Returns the rate as of the last forwarded request. */
  double workPerSecond() {
    return workPerSecond;
  }
}
