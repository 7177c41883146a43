package merlinrouter.emulator.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import merlinrouter.emulator.fleet.Fleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The {@code soak} command: runs soak tests of several seeds, one after another. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = {
      "Runs real node processes under steady traffic, injects overlapping random faults and checks"
          + " every request against the service's invariants.",
      "Exit status: 0 if no invariant was violated, 1 if one was, 2 for a bad command line."
    })
public final class SoakCommand implements Callable<Integer> {
  private static final int EXIT_PASSED = 0;
  private static final int EXIT_FAILED = 1;
  private static final int MAX_LINES = 20;

  @Option(
      names = "--root",
      description = "The checkout with the built program (default: ${DEFAULT-VALUE}).")
  private Path root = Path.of(".");

  @Option(
      names = "--seed",
      description =
          "The first seed; it determines the faults and what clients send"
              + " (default: ${DEFAULT-VALUE}).")
  private long firstSeed = 1;

  @Option(
      names = "--seeds",
      description = "How many seeds to run, counting up (default: ${DEFAULT-VALUE}).")
  private int seedCount = 1;

  @Option(names = "--nodes", description = "Number of node processes (default: ${DEFAULT-VALUE}).")
  private int nodeCount = 24;

  @Option(
      names = "--servers",
      description = "Number of upstream servers (default: ${DEFAULT-VALUE}).")
  private int upstreamCount = 12;

  @Option(
      names = "--seconds",
      description = "How long faults are injected for each seed (default: ${DEFAULT-VALUE}).")
  private int durationSeconds = 30;

  @Option(
      names = "--own-delay-ms",
      description =
          "Allowance for delays of the emulator's own threads, in milliseconds, added to each time"
              + " limit (default: ${DEFAULT-VALUE}).")
  private long emulatorDelayMillis = 50;

  @Option(
      names = "--only",
      split = ",",
      description = "Inject only these kinds of fault: ${COMPLETION-CANDIDATES}.")
  private List<FaultKind> kinds = List.of(FaultKind.values());

  @Option(
      names = "--folder",
      description =
          "Where the nodes' configuration and log files go (default: a new temporary folder).")
  private Path folder;

  @Override
  public Integer call() throws IOException, InterruptedException {
    boolean passed = true;
    Path runsFolder = folder == null ? Files.createTempDirectory("soak") : folder;
    for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
      passed &= run(seed, runsFolder.resolve("seed-" + seed));
    }
    return passed ? EXIT_PASSED : EXIT_FAILED;
  }

  private boolean run(long seed, Path seedFolder) throws IOException, InterruptedException {
    try (SoakRun run = new SoakRun(new Fleet(root, seedFolder), seed, emulatorDelayMillis)) {
      SoakResult result =
          run.run(
              new FaultSchedule(seed, kinds),
              nodeCount,
              upstreamCount,
              Duration.ofSeconds(durationSeconds));
      print(seed, seedFolder, result);
      return result.passed();
    }
  }

  private static void print(long seed, Path seedFolder, SoakResult result) {
    System.out.printf(
        "seed %d: %s %s, %d violations, %d inconclusive while the emulator was stalled,"
            + " %d node faults, %d attempts with an unknown id; logs in %s%n",
        seed,
        result.passed() ? "passed" : "FAILED",
        result.requestsByOutcome(),
        result.violations().size(),
        result.inconclusive().size(),
        result.nodeFaults().size(),
        result.unknownAttempts(),
        seedFolder);
    printFirst("  ", result.violations());
    printFirst("  inconclusive ", result.inconclusive());
    printFirst("  ", result.nodeFaults());
  }

  private static void printFirst(String prefix, List<?> findings) {
    findings.stream().limit(MAX_LINES).forEach(finding -> System.out.println(prefix + finding));
  }
}
