package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Tests the errors for invalid options of the soak command. */
class SoakCommandLineTest {
  private static final int EXIT_USAGE_ERROR = 2;

  private static void assertUsageError(String expectedMessage, String... options) {
    String[] arguments = new String[options.length + 1];
    arguments[0] = "soak";
    System.arraycopy(options, 0, arguments, 1, options.length);
    StringWriter errors = new StringWriter();
    CommandLine commandLine = Main.commandLine();
    commandLine.setErr(new PrintWriter(errors));
    assertEquals(EXIT_USAGE_ERROR, commandLine.execute(arguments));
    assertEquals(expectedMessage, errors.toString().strip());
  }

  @Test
  void numbersBelowTheirMinimumAreReportedInOneLine() {
    assertUsageError("--nodes must be at least 1, not 0", "--nodes", "0");
    assertUsageError("--servers must be at least 1, not -1", "--servers", "-1");
    assertUsageError("--seconds must be at least 1, not 0", "--seconds", "0");
    assertUsageError("--seeds must be at least 1, not 0", "--seeds", "0");
    assertUsageError("--own-delay-ms must be at least 0, not -5", "--own-delay-ms", "-5");
    assertUsageError(
        "--outage-series-max-s must be at least 4, not 3", "--outage-series-max-s", "3");
    assertUsageError("--timeouts-ms must be at least 1, not 0", "--timeouts-ms", "361,0");
  }

  @Test
  void unknownOptionsAndMissingProgramsAreReportedInOneLine() {
    assertUsageError("Unknown option: '--sevens'", "--sevens");
    assertUsageError(
        "--root /nowhere has no built program target/merlinrouter.jar", "--root", "/nowhere");
  }
}
