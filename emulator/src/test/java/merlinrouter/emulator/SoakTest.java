package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a short soak test with each of several seeds, one of them with crowds of idle clients. */
@Timeout(300)
class SoakTest {
  /** Number of seeds; the seeds are 1 to 3. */
  private static final String SEEDS = "3";

  /** Allows for a machine that is busy with other work, unlike the option's default. */
  private static final String EMULATOR_DELAY_MILLIS = "250";

  @TempDir Path folder;

  @Test
  void invariantsHoldUnderFaultsOfWholeProcesses() {
    int status =
        Main.commandLine()
            .execute(
                "soak",
                "--root",
                NodeFaultTestBase.ROOT.toString(),
                "--folder",
                folder.toString(),
                "--hard",
                "--seeds",
                SEEDS,
                "--nodes",
                "4",
                "--servers",
                "4",
                "--seconds",
                "12",
                "--own-delay-ms",
                EMULATOR_DELAY_MILLIS);
    assertEquals(
        0, status, "the soak test failed; see the violations and faults on standard output");
  }

  /** Guards against report 4e79c6: drains took effect late on a watch opened in an outage. */
  @Test
  void drainsTakeEffectInTimeUnderOutagesOfDiscoveryInSeries() {
    int status =
        Main.commandLine()
            .execute(
                "soak",
                "--root",
                NodeFaultTestBase.ROOT.toString(),
                "--folder",
                folder.toString(),
                "--only",
                "SERVER_ERRS,CLOCK_STEPS",
                "--outage-series-max-s",
                "6",
                "--seed",
                "3",
                "--seeds",
                "2",
                "--nodes",
                "4",
                "--servers",
                "6",
                "--seconds",
                "25",
                "--own-delay-ms",
                EMULATOR_DELAY_MILLIS);
    assertEquals(
        0, status, "the soak test failed; see the violations and faults on standard output");
  }
}
