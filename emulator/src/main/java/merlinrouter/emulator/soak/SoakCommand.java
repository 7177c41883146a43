package merlinrouter.emulator.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.invariant.Invariant;
import merlinrouter.emulator.invariant.Violation;
import merlinrouter.emulator.soak.SoakResult.Verdict;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The {@code soak} command, which runs soak tests of one or more seeds in sequence. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = {
      "Runs real node processes under steady traffic, injects overlapping random faults and checks"
          + " every request against the service's invariants.",
      "Exit status: 0 if all seeds passed, 1 if an invariant was violated, a node process failed or"
          + " an attempt carried an unknown id, 2 for a bad command line, 3 if no seed failed but,"
          + " since the emulator itself was late, more than 1 in 100 requests of a seed were"
          + " inconclusive."
    })
public final class SoakCommand implements Callable<Integer> {
  private static final int EXIT_PASSED = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_NO_VERDICT = 3;
  private static final int MAX_LINES = 20;
  private static final int MIN_MAX_OUTAGE_SECONDS = 4;

  @Option(
      names = "--root",
      description = "The checkout that contains the built program (default: ${DEFAULT-VALUE}).")
  private Path root = Path.of(".");

  @Option(
      names = "--seed",
      description =
          "The first seed. A seed determines the faults and what clients send"
              + " (default: ${DEFAULT-VALUE}).")
  private long firstSeed = 1;

  @Option(
      names = "--seeds",
      description = "Number of consecutive seeds to run (default: ${DEFAULT-VALUE}).")
  private int seedCount = 1;

  @Option(names = "--nodes", description = "Number of node processes (default: ${DEFAULT-VALUE}).")
  private int nodeCount = 24;

  @Option(
      names = "--servers",
      description = "Number of upstream servers (default: ${DEFAULT-VALUE}).")
  private int upstreamCount = 12;

  @Option(
      names = "--seconds",
      description = "Seconds of fault injection for each seed (default: ${DEFAULT-VALUE}).")
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
      description =
          "Inject only these kinds of fault: ${COMPLETION-CANDIDATES}"
              + " (default: all but MOST_SERVERS_REPLACED, LISTS_IN_PIECES and LISTS_CUT_SHORT).")
  private List<FaultKind> kinds = FaultKind.defaultKinds();

  @Option(
      names = "--also",
      split = ",",
      description =
          "Also inject these kinds of fault, in addition to the default ones or those of --only.")
  private List<FaultKind> additionalKinds = List.of();

  @Option(
      names = "--timeouts-ms",
      split = ",",
      description =
          "Fixed timeouts in milliseconds, one of which is drawn for about half of the clients'"
              + " requests (default: none).")
  private List<Long> timeoutsMillis = List.of();

  @Option(
      names = "--hard",
      description = {
        "Also inject faults of whole processes: series of signals, kills, restarts of neighboring"
            + " nodes and, if the seed is divisible by 3, idle clients that use up a node's file"
            + " descriptors. A node that still runs 0.7 s after the longest deadline, counted from"
            + " its SIGTERM, is killed."
      })
  private boolean hard;

  @Option(
      names = "--outage-series-max-s",
      description = {
        "Also inject outages of discovery in series: a first one of 3 s up to this many seconds,"
            + " then, soon after its end, another trouble and servers that drain. 0 for none"
            + " (default: ${DEFAULT-VALUE})."
      })
  private int maxOutageSeconds;

  @Option(
      names = "--folder",
      description =
          "The folder for the nodes' configuration and log files"
              + " (default: a new temporary folder).")
  private Path folder;

  @Spec private CommandSpec command;

  @Override
  public Integer call() throws IOException, InterruptedException {
    validate();
    SoakSettings settings =
        new SoakSettings(
            nodeCount,
            upstreamCount,
            Duration.ofSeconds(durationSeconds),
            emulatorDelayMillis,
            Stream.concat(kinds.stream(), additionalKinds.stream()).toList(),
            new ClientTimeouts(timeoutsMillis),
            hard,
            Duration.ofSeconds(maxOutageSeconds));
    Set<Verdict> verdicts = EnumSet.noneOf(Verdict.class);
    Path runsFolder = folder == null ? Files.createTempDirectory("soak") : folder;
    for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
      verdicts.add(run(seed, runsFolder.resolve("seed-" + seed), settings));
    }
    if (verdicts.contains(Verdict.FAILED)) {
      return EXIT_FAILED;
    }
    return verdicts.contains(Verdict.NONE) ? EXIT_NO_VERDICT : EXIT_PASSED;
  }

  private void validate() {
    requireAtLeast("--seeds", seedCount, 1);
    requireAtLeast("--nodes", nodeCount, 1);
    requireAtLeast("--servers", upstreamCount, 1);
    requireAtLeast("--seconds", durationSeconds, 1);
    requireAtLeast("--own-delay-ms", emulatorDelayMillis, 0);
    if (maxOutageSeconds != 0) {
      requireAtLeast("--outage-series-max-s", maxOutageSeconds, MIN_MAX_OUTAGE_SECONDS);
    }
    timeoutsMillis.forEach(millis -> requireAtLeast("--timeouts-ms", millis, 1));
    if (!Files.isRegularFile(root.resolve(Fleet.PROGRAM))) {
      throw badOption("--root " + root + " has no built program " + Fleet.PROGRAM);
    }
  }

  private void requireAtLeast(String option, long value, long minimum) {
    if (value < minimum) {
      throw badOption(option + " must be at least " + minimum + ", not " + value);
    }
  }

  private ParameterException badOption(String message) {
    return new ParameterException(command.commandLine(), message);
  }

  private Verdict run(long seed, Path seedFolder, SoakSettings settings)
      throws IOException, InterruptedException {
    try (SoakRun run = new SoakRun(root, seedFolder, seed, settings)) {
      SoakResult result = run.run();
      print(seed, seedFolder, result);
      return result.verdict();
    }
  }

  private static void print(long seed, Path seedFolder, SoakResult result) {
    System.out.printf(
        "seed %d: %s %s, %d violations, %d inconclusive while the emulator was late,"
            + " %d node faults, %d attempts with an unknown id, %d faults; logs in %s%n",
        seed,
        result.verdict(),
        result.requestsByOutcome(),
        result.violations().size(),
        result.inconclusive().size(),
        result.nodeFaults().size(),
        result.unknownAttempts(),
        result.faultLines().size(),
        seedFolder);
    System.out.println("  margins: " + result.margins());
    printFirst("    ", result.margins().overdue());
    System.out.println("  drains: " + result.drainDelay());
    System.out.println("  faults " + result.faultsByKind());
    System.out.println("  violations " + countsByInvariant(result.violations()));
    printFirst("  ", result.violations());
    printFirst("  inconclusive ", result.inconclusive());
    printFirst("  ", result.nodeFaults());
    if (result.verdict() == Verdict.FAILED) {
      result.faultLines().forEach(line -> System.out.println("  " + line));
    }
  }

  private static Map<Invariant, Long> countsByInvariant(List<Violation> violations) {
    return violations.stream()
        .collect(Collectors.groupingBy(Violation::invariant, TreeMap::new, Collectors.counting()));
  }

  private static void printFirst(String prefix, List<?> findings) {
    findings.stream().limit(MAX_LINES).forEach(finding -> System.out.println(prefix + finding));
  }
}
