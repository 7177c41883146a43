package merlinrouter.emulator;

import java.util.List;
import java.util.SplittableRandom;

/** Draws faults from a seed: which, where and for how long. The same seed gives the same plan. */
final class SoakPlan {
  /** What may happen. */
  enum Kind {
    ACCEPT_FAILS,
    SOCKET_FAILS,
    CONNECT_FAILS,
    READS_INTERRUPTED,
    SHORT_CALLS,
    CLOCK_STEPS,
    NODE_HELD,
    NODE_RELOADED,
    NODE_RESTARTED,
    SERVER_HANGS,
    SERVER_ERRS,
    SERVER_TURNS_AWAY,
    SERVER_RESETS,
    SERVER_CUTS_SHORT,
    SERVER_GIVES_NO_LENGTH,
    SERVER_DROPS_CONNECTIONS,
    SERVER_REPLACED,
    LINK_SILENT,
    LINK_IN_PIECES,
    LINK_SLOW,
    DISCOVERY_SILENT,
    WATCHES_RESET,
    COUNTER_SILENT,
    COUNTER_RESET
  }

  /**
   * A fault: its kind, a number that picks its place and its parameter, the time to the next one,
   * its length.
   */
  record Fault(Kind kind, int pick, long pauseMillis, long lengthMillis) {}

  private static final long MOST_PAUSE_MILLIS = 250;
  private static final long LEAST_LENGTH_MILLIS = 300;
  private static final long MOST_LENGTH_MILLIS = 3_000;

  private final SplittableRandom random;
  private final List<Kind> kinds;

  SoakPlan(long seed, List<Kind> kinds) {
    random = new SplittableRandom(seed);
    this.kinds = kinds;
  }

  /** The next fault. */
  Fault next() {
    return new Fault(
        kinds.get(random.nextInt(kinds.size())),
        random.nextInt(1 << 20),
        random.nextLong(MOST_PAUSE_MILLIS),
        random.nextLong(LEAST_LENGTH_MILLIS, MOST_LENGTH_MILLIS));
  }
}
