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
   * Runs a command and exits with its status: 0 if it passed, 1 if it failed, 2 for a bad command
   * line, 3 if the emulator's own threads were too late for a verdict.
   */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  /** Returns the command line, which reports a bad option with one line. */
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
