package merlinrouter.emulator.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a soak test plays, by its options and its seed. */
class SoakSettingsTest {
  private static SoakSettings settings(boolean hard) {
    return new SoakSettings(
        1,
        1,
        Duration.ofSeconds(1),
        0,
        List.of(FaultKind.values()),
        new ClientTimeouts(List.of()),
        hard);
  }

  @Test
  void aHardRunKillsAtTheEarliestMomentThatTheTermsAllow() {
    assertEquals(Duration.ofMillis(3_700), settings(false).killDelay());
    assertEquals(Duration.ofMillis(3_200), settings(true).killDelay());
  }

  @Test
  void crowdsComeInEveryThirdSeedOfAHardRun() {
    assertEquals(List.of(), settings(false).processFaultKinds(3));
    assertTrue(settings(true).processFaultKinds(3).contains(ProcessFaultKind.CROWDED));
    assertFalse(settings(true).processFaultKinds(4).contains(ProcessFaultKind.CROWDED));
  }

  /** The draws of a seed must stay what they were when it found something. */
  @Test
  void theKindsOfAPlainRunKeepTheirOrder() {
    assertEquals(FaultKind.ACCEPT_FAILS, FaultKind.values()[0]);
    assertEquals(24, FaultKind.values().length);
    assertEquals(FaultKind.COUNTER_RESET, FaultKind.values()[23]);
  }
}
