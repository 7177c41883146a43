package merlinrouter.emulator;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays soaks of several seeds, one after another. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Overlapping random faults over real node processes, judged by the invariants.")
final class SoakCommand implements Callable<Integer> {
  @Option(
      names = "--root",
      description = "The checkout with the built program (default: ${DEFAULT-VALUE}).")
  private Path root = Path.of(".");

  @Option(names = "--seed", description = "The first seed (default: ${DEFAULT-VALUE}).")
  private long seed = 1;

  @Option(names = "--seeds", description = "How many seeds (default: ${DEFAULT-VALUE}).")
  private int seeds = 1;

  @Option(names = "--nodes", description = "Node processes (default: ${DEFAULT-VALUE}).")
  private int nodes = 24;

  @Option(names = "--servers", description = "Match servers (default: ${DEFAULT-VALUE}).")
  private int servers = 12;

  @Option(names = "--seconds", description = "Length of each soak (default: ${DEFAULT-VALUE}).")
  private int seconds = 30;

  @Option(
      names = "--own-delay-ms",
      description = "How late the emulator may note an event (default: ${DEFAULT-VALUE}).")
  private long ownDelayMillis = 50;

  @Option(
      names = "--only",
      split = ",",
      description = "Only these kinds of fault: ${COMPLETION-CANDIDATES}.")
  private List<SoakPlan.Kind> kinds = List.of(SoakPlan.Kind.values());

  @Option(
      names = "--folder",
      description = "Where configurations and logs go (default: a new temporary folder).")
  private Path folder;

  @Override
  public Integer call() throws Exception {
    boolean passed = true;
    Path base = folder == null ? Files.createTempDirectory("soak") : folder;
    for (long each = seed; each < seed + seeds; each++) {
      Path own = base.resolve("seed-" + each);
      try (Soak soak = new Soak(new Fleet(root, own), each, ownDelayMillis)) {
        Soak.Result result =
            soak.play(new SoakPlan(each, kinds), nodes, servers, Duration.ofSeconds(seconds));
        passed &= result.passed();
        report(each, own, result);
      }
    }
    return passed ? 0 : 1;
  }

  private static void report(long seed, Path folder, Soak.Result result) {
    System.out.println(
        "seed "
            + seed
            + ": "
            + (result.passed() ? "passed" : "FAILED")
            + " "
            + result.ends()
            + ", "
            + result.violations().size()
            + " violations, "
            + result.unproven().size()
            + " unproven while the emulator was stalled, "
            + result.nodeFaults().size()
            + " node faults; logs in "
            + folder);
    result.violations().stream()
        .limit(MOST_LINES)
        .forEach(violation -> System.out.println("  " + violation));
    result.unproven().stream()
        .limit(MOST_LINES)
        .forEach(violation -> System.out.println("  unproven " + violation));
    result.nodeFaults().stream()
        .limit(MOST_LINES)
        .forEach(fault -> System.out.println("  " + fault));
  }

  private static final int MOST_LINES = 20;
}
