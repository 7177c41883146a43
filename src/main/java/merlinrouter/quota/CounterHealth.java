package merlinrouter.quota;

import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/** Detects from the results of calls whether the shared counter has stopped answering. */
final class CounterHealth {
  /** The counter is considered silent after more than this time without an answer ... */
  private static final long SILENT_AFTER_NANOS = Nanos.PER_SECOND / 2;

  /** ... and at least this many consecutive unanswered calls: fewer may fail by chance. */
  private static final int SILENT_AFTER_CALLS = 3;

  private final EventClock clock;
  private long answeredAtNanos;
  private int unansweredCalls;
  private boolean silent;

  CounterHealth(EventClock clock) {
    this.clock = clock;
    answeredAtNanos = clock.nowNanos();
  }

  /** Records the end of a call; returns whether it changed the result of {@link #isSilent}. */
  boolean recordCall(boolean answered) {
    if (answered) {
      answeredAtNanos = clock.nowNanos();
      unansweredCalls = 0;
    } else {
      unansweredCalls++;
    }
    boolean wasSilent = silent;
    silent =
        unansweredCalls >= SILENT_AFTER_CALLS
            && clock.nanosSince(answeredAtNanos) > SILENT_AFTER_NANOS;
    return silent != wasSilent;
  }

  boolean isSilent() {
    return silent;
  }
}
