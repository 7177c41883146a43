package merlinrouter.loadbalancing;

import merlinrouter.time.EventClock;

/** The rate at which this gateway forwards work: seconds of expected service per second. */
final class ForwardedWork {
  private static final double TIME_CONSTANT_SECONDS = 4;

  private final EventClock clock;
  private double workPerSecond;
  private long updatedAtNanos;

  ForwardedWork(EventClock clock) {
    this.clock = clock;
  }

  /** Adds a request that is forwarded. */
  void record(double expectedServiceSeconds) {
    double decay = Math.exp(-clock.secondsSince(updatedAtNanos) / TIME_CONSTANT_SECONDS);
    workPerSecond = workPerSecond * decay + expectedServiceSeconds / TIME_CONSTANT_SECONDS;
    updatedAtNanos = clock.nowNanos();
  }

  /** The rate as of the last forwarded request. */
  double workPerSecond() {
    return workPerSecond;
  }
}
