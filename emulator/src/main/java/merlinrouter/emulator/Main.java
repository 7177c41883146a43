package merlinrouter.emulator;

import merlinrouter.emulator.soak.SoakCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The emulator's command line. */
@Command(
    name = "emulator",
    mixinStandardHelpOptions = true,
    subcommands = SoakCommand.class,
    description = "Runs real edge nodes between emulated peers on loopback and injects faults.")
public final class Main {
  private Main() {}

  /**
   * Runs a command: 0 if it passed, 1 if it found a violation, 2 for a bad command line, 3 if the
   * emulator was too late to tell.
   */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  /** The command line, which answers bad options with one line. */
  static CommandLine commandLine() {
    CommandLine commandLine = new CommandLine(new Main());
    commandLine.setParameterExceptionHandler(
        (exception, arguments) -> {
          CommandLine failed = exception.getCommandLine();
          failed.getErr().println(exception.getMessage());
          return failed.getCommandSpec().exitCodeOnInvalidInput();
        });
    return commandLine;
  }
}
