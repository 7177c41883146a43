package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Bad options of the soak command. */
class SoakCommandLineTest {
  private static final int STATUS_BAD_OPTION = 2;

  private static void assertRefused(String message, String... options) {
    String[] arguments = new String[options.length + 1];
    arguments[0] = "soak";
    System.arraycopy(options, 0, arguments, 1, options.length);
    StringWriter errors = new StringWriter();
    CommandLine commandLine = Main.commandLine();
    commandLine.setErr(new PrintWriter(errors));
    assertEquals(STATUS_BAD_OPTION, commandLine.execute(arguments));
    assertEquals(message, errors.toString().strip());
  }

  @Test
  void numbersBelowTheirMinimumAreRefusedWithOneLine() {
    assertRefused("--nodes must be at least 1, not 0", "--nodes", "0");
    assertRefused("--servers must be at least 1, not -1", "--servers", "-1");
    assertRefused("--seconds must be at least 1, not 0", "--seconds", "0");
    assertRefused("--seeds must be at least 1, not 0", "--seeds", "0");
    assertRefused("--own-delay-ms must be at least 0, not -5", "--own-delay-ms", "-5");
    assertRefused("--timeouts-ms must be at least 1, not 0", "--timeouts-ms", "361,0");
  }

  @Test
  void unknownOptionsAndMissingProgramsAreRefusedWithOneLine() {
    assertRefused("Unknown option: '--sevens'", "--sevens");
    assertRefused(
        "--root /nowhere has no built program target/merlinrouter.jar", "--root", "/nowhere");
  }
}
