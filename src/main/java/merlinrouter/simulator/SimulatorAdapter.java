package merlinrouter.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Entry point of the adapter, which hosts gateways for the simulator until its input ends. */
public final class SimulatorAdapter {
  private static final String COMMAND = "simulate";
  private static final int BUFFER_CHARACTERS = 64 * 1024;
  private static final int EXIT_MALFORMED_INPUT = 1;
  private static final int EXIT_IO_ERROR = 1;
  private static final int EXIT_USAGE = 2;

  private SimulatorAdapter() {}

  /**
   * Runs the adapter; the only argument is {@code simulate}. Returns at the end of the input; ends
   * the process with status 1 on malformed input or an I/O error and with 2 on an invalid command
   * line.
   */
  public static void main(String[] args) {
    if (args.length != 1 || !args[0].equals(COMMAND)) {
      System.err.println("usage: merlinrouter.jar " + COMMAND);
      System.exit(EXIT_USAGE);
    }
    var in =
        new BufferedReader(
            new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARACTERS);
    var out =
        new BufferedWriter(
            new OutputStreamWriter(System.out, StandardCharsets.UTF_8), BUFFER_CHARACTERS);
    try {
      new WireReader(in, new WireWriter(out)).run();
    } catch (MalformedInputException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_MALFORMED_INPUT);
    } catch (IOException e) {
      System.err.println("I/O error on standard input or output: " + e.getMessage());
      System.exit(EXIT_IO_ERROR);
    }
  }
}
