package merlinrouter;

import java.nio.file.Path;
import java.time.Duration;
import java.util.OptionalInt;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.UnreadableConfigException;
import merlinrouter.node.lifecycle.NodeProcess;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.simulator.SimulatorAdapter;

/**
 * Entry point of the program: {@code serve} runs an edge node, {@code simulate} runs gateways for
 * the simulator.
 */
public final class Main {
  private static final int EXIT_CANNOT_START = 1;
  private static final int EXIT_USAGE = 2;

  private static final int MAX_LOG_INTERVAL_SECONDS = 3_600;

  private static final String CONFIG_VARIABLE = "GW_CONFIG";
  private static final String TEMPORARY_FOLDER_VARIABLE = "TMPDIR";
  private static final String LOG_INTERVAL_VARIABLE = "GW_LOG_INTERVAL_SECONDS";

  private Main() {}

  /** Runs the command named by the only argument. */
  public static void main(String[] args) {
    switch (args.length == 1 ? args[0] : "") {
      case "serve" -> serve(System.getenv(CONFIG_VARIABLE));
      case "simulate" -> SimulatorAdapter.main(args);
      default -> exit(EXIT_USAGE, "usage: merlinrouter.jar serve|simulate");
    }
  }

  private static void serve(String configFile) {
    if (configFile == null || configFile.isEmpty()) {
      exit(EXIT_USAGE, CONFIG_VARIABLE + " must name the configuration file");
      return;
    }
    OptionalInt logIntervalSeconds = logIntervalSeconds();
    if (logIntervalSeconds.isEmpty()) {
      exit(
          EXIT_USAGE,
          LOG_INTERVAL_VARIABLE + " must be a whole number from 1 to " + MAX_LOG_INTERVAL_SECONDS);
      return;
    }
    NodeProcess.configureLogging();
    try {
      String temporaryFolder =
          System.getenv()
              .getOrDefault(TEMPORARY_FOLDER_VARIABLE, System.getProperty("java.io.tmpdir"));
      Duration logInterval = Duration.ofSeconds(logIntervalSeconds.getAsInt());
      new NodeProcess(Path.of(configFile), Path.of(temporaryFolder), logInterval).start();
    } catch (InvalidConfigException | UnreadableConfigException e) {
      exit(EXIT_CANNOT_START, e.getMessage());
    } catch (Exception e) {
      exit(EXIT_CANNOT_START, "cannot start: " + e.getMessage());
    }
  }

  /** Returns the interval between log lines of counts; empty if the variable's value is invalid. */
  private static OptionalInt logIntervalSeconds() {
    String text = System.getenv(LOG_INTERVAL_VARIABLE);
    if (text == null || text.isEmpty()) {
      return OptionalInt.of((int) NodeLog.DEFAULT_INTERVAL.toSeconds());
    }
    try {
      int seconds = Integer.parseInt(text);
      boolean valid = seconds >= 1 && seconds <= MAX_LOG_INTERVAL_SECONDS;
      return valid ? OptionalInt.of(seconds) : OptionalInt.empty();
    } catch (NumberFormatException e) {
      return OptionalInt.empty();
    }
  }

  /** Ends the process immediately, without running the shutdown hook. */
  private static void exit(int status, String line) {
    System.err.println(line);
    Runtime.getRuntime().halt(status);
  }
}
