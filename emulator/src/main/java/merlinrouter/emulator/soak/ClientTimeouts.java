package merlinrouter.emulator.soak;

import java.util.List;
import java.util.SplittableRandom;

/** Draws how long clients wait for their responses. Immutable. */
final class ClientTimeouts {
  private static final long MIN_MILLIS = 150;
  private static final long MAX_MILLIS = 2_400;

  private final List<Long> fixedMillis;

  /**
   * Creates timeouts of which half are fixed ones.
   *
   * @param fixedMillis the fixed timeouts in milliseconds; empty for none. Without them a seed
   *     draws what it draws by default.
   */
  ClientTimeouts(List<Long> fixedMillis) {
    this.fixedMillis = List.copyOf(fixedMillis);
  }

  /** A timeout in milliseconds that is too short for most requests. */
  long drawShortMillis(SplittableRandom random) {
    return random.nextLong(1, MIN_MILLIS);
  }

  /** A timeout in milliseconds: a fixed one, or one of the whole range. */
  long drawMillis(SplittableRandom random) {
    if (!fixedMillis.isEmpty() && random.nextBoolean()) {
      return fixedMillis.get(random.nextInt(fixedMillis.size()));
    }
    return random.nextLong(MIN_MILLIS, MAX_MILLIS);
  }
}
