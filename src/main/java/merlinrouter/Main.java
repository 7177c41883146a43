package merlinrouter;

import java.nio.file.Path;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.UnreadableConfigException;
import merlinrouter.node.lifecycle.NodeProcess;
import merlinrouter.simulator.SimulatorAdapter;

/**
 * The program: {@code serve} runs an edge node, {@code simulate} the gateway's decisions on the
 * simulator's wire.
 */
public final class Main {
  private static final int EXIT_CANNOT_START = 1;
  private static final int EXIT_USAGE = 2;

  private static final String CONFIG_VARIABLE = "GW_CONFIG";
  private static final String TEMPORARY_FOLDER_VARIABLE = "TMPDIR";

  private Main() {}

  /** Runs the command that the one argument names. */
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
    NodeProcess.configureLogging();
    try {
      String temporaryFolder =
          System.getenv()
              .getOrDefault(TEMPORARY_FOLDER_VARIABLE, System.getProperty("java.io.tmpdir"));
      new NodeProcess(Path.of(configFile), Path.of(temporaryFolder)).start();
    } catch (InvalidConfigException | UnreadableConfigException e) {
      exit(EXIT_CANNOT_START, e.getMessage());
    } catch (Exception e) {
      exit(EXIT_CANNOT_START, "cannot start: " + e.getMessage());
    }
  }

  /** Ends the process at once, without the shutdown hook. */
  private static void exit(int status, String line) {
    System.err.println(line);
    Runtime.getRuntime().halt(status);
  }
}
