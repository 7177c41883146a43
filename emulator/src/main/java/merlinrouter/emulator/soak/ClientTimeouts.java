package merlinrouter.emulator.soak;

import java.util.List;
import java.util.SplittableRandom;

/** Draws the timeouts of clients' requests. Immutable. */
final class ClientTimeouts {
  private static final long MIN_MILLIS = 150;
  private static final long MAX_MILLIS = 2_400;

  private final List<Long> fixedMillis;

  /**
   * Creates a source of timeouts.
   *
   * @param fixedMillis the fixed timeouts in milliseconds, which are half of those that {@link
   *     #drawMillis} draws. If empty, no random number is drawn to choose between them and the
   *     others, so that each seed has its default draws.
   */
  ClientTimeouts(List<Long> fixedMillis) {
    this.fixedMillis = List.copyOf(fixedMillis);
  }

  /** Draws a timeout in milliseconds that is too short for most requests. */
  long drawShortMillis(SplittableRandom random) {
    return random.nextLong(1, MIN_MILLIS);
  }

  /** Draws a timeout in milliseconds: a fixed one, or one of the whole range. */
  long drawMillis(SplittableRandom random) {
    if (!fixedMillis.isEmpty() && random.nextBoolean()) {
      return fixedMillis.get(random.nextInt(fixedMillis.size()));
    }
    return random.nextLong(MIN_MILLIS, MAX_MILLIS);
  }
}
