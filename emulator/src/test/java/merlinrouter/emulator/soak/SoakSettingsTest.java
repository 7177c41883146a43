package merlinrouter.emulator.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the faults and the kill delay that follow from options and seed. */
class SoakSettingsTest {
  private static final String DEFAULT_KINDS =
      "[ACCEPT_FAILS, SOCKET_FAILS, CONNECT_FAILS, READS_INTERRUPTED, SHORT_CALLS, CLOCK_STEPS,"
          + " NODE_HELD, NODE_RELOADED, NODE_RESTARTED, SERVER_HANGS, SERVER_ERRS,"
          + " SERVER_TURNS_AWAY, SERVER_RESETS, SERVER_CUTS_SHORT, SERVER_GIVES_NO_LENGTH,"
          + " SERVER_DROPS_CONNECTIONS, SERVER_REPLACED, LINK_SILENT, LINK_IN_PIECES, LINK_SLOW,"
          + " DISCOVERY_SILENT, WATCHES_RESET, COUNTER_SILENT, COUNTER_RESET]";

  private static SoakSettings settings(boolean hard) {
    return new SoakSettings(
        1,
        1,
        Duration.ofSeconds(1),
        0,
        FaultKind.defaultKinds(),
        new ClientTimeouts(List.of()),
        hard,
        Duration.ZERO);
  }

  /** 700 ms after the longest deadline: the configured 2.5 s in a hard run, otherwise 3 s. */
  @Test
  void aHardRunKillsAtTheEarliestPermittedTime() {
    assertEquals(Duration.ofMillis(3_700), settings(false).killDelay());
    assertEquals(Duration.ofMillis(3_200), settings(true).killDelay());
  }

  @Test
  void idleClientsConnectInEveryThirdSeedOfAHardRun() {
    assertEquals(List.of(), settings(false).processFaultKinds(3));
    assertTrue(settings(true).processFaultKinds(3).contains(ProcessFaultKind.CROWDED));
    assertFalse(settings(true).processFaultKinds(4).contains(ProcessFaultKind.CROWDED));
  }

  /** A seed that found a fault must reproduce the same draws later. */
  @Test
  void theDefaultKindsKeepTheirOrder() {
    assertEquals(DEFAULT_KINDS, FaultKind.defaultKinds().toString());
  }
}
