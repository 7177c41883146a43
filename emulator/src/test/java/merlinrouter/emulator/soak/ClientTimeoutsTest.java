package merlinrouter.emulator.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests the timeouts that a seed draws for clients' requests. */
class ClientTimeoutsTest {
  private static final List<Long> FIXED_MILLIS = List.of(361L, 1_092L);
  private static final int DRAWS = 1_000;

  /** A seed that found a fault must reproduce the same draws later. */
  @Test
  void withoutFixedTimeoutsTheDrawsOfASeedStayTheSame() {
    ClientTimeouts timeouts = new ClientTimeouts(List.of());
    SplittableRandom random = new SplittableRandom(1);
    assertEquals(97, timeouts.drawShortMillis(random));
    assertEquals(909, timeouts.drawMillis(random));
    assertEquals(50, timeouts.drawShortMillis(random));
    assertEquals(767, timeouts.drawMillis(random));
    assertEquals(136, timeouts.drawShortMillis(random));
    assertEquals(1_174, timeouts.drawMillis(random));
  }

  @Test
  void fixedTimeoutsAreDrawnInAdditionToTheOthers() {
    ClientTimeouts timeouts = new ClientTimeouts(FIXED_MILLIS);
    SplittableRandom random = new SplittableRandom(1);
    List<Long> drawn =
        LongStream.range(0, DRAWS).map(i -> timeouts.drawMillis(random)).boxed().toList();
    Set<Long> distinct = drawn.stream().collect(Collectors.toSet());
    assertTrue(distinct.containsAll(FIXED_MILLIS), distinct.toString());
    assertTrue(distinct.size() > FIXED_MILLIS.size(), distinct.toString());
  }
}
