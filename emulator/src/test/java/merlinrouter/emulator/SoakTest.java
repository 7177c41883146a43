package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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

  private void assertPasses(String... options) {
    List<String> arguments = new ArrayList<>();
    arguments.addAll(List.of("soak", "--root", NodeFaultTestBase.ROOT.toString()));
    arguments.addAll(List.of("--folder", folder.toString()));
    arguments.addAll(List.of("--own-delay-ms", EMULATOR_DELAY_MILLIS));
    arguments.addAll(List.of(options));
    int status = Main.commandLine().execute(arguments.toArray(String[]::new));
    assertEquals(
        0, status, "the soak test failed; see the violations and faults on standard output");
  }

  @Test
  void invariantsHoldUnderFaultsOfWholeProcesses() {
    assertPasses("--hard", "--seeds", SEEDS, "--nodes", "4", "--servers", "4", "--seconds", "12");
  }

  /** Guards against report 4e79c6: drains took effect late on a watch opened in an outage. */
  @Test
  void drainsTakeEffectInTimeUnderOutagesOfDiscoveryInSeries() {
    assertPasses(
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
        "25");
  }
}
