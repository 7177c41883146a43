package merlinrouter.emulator.soak;

import java.util.List;
import java.util.SplittableRandom;

/** Draws faults from a seed: the same seed and kinds give the same faults. */
final class FaultSchedule {
  private static final int SELECTORS = 1 << 20;
  private static final long MAX_DELAY_MILLIS = 250;
  private static final long MIN_DURATION_MILLIS = 300;
  private static final long MAX_DURATION_MILLIS = 3_000;

  private final SplittableRandom random;
  private final List<FaultKind> kinds;

  /** Creates a schedule that draws from the given kinds of fault. */
  FaultSchedule(long seed, List<FaultKind> kinds) {
    random = new SplittableRandom(seed);
    this.kinds = kinds;
  }

  /** Draws the next fault. */
  ScheduledFault next() {
    return new ScheduledFault(
        kinds.get(random.nextInt(kinds.size())),
        random.nextInt(SELECTORS),
        random.nextLong(MAX_DELAY_MILLIS),
        random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS));
  }
}
