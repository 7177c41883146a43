package merlinrouter.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the adapter as a process: framing, absent values, and errors for malformed input. */
class SimulatorAdapterTest {
  private static final long EXIT_TIMEOUT_SECONDS = 60;

  private record ProcessResult(int exitStatus, String out, String err) {}

  private static ProcessResult simulate(String input) throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "-cp",
                System.getProperty("java.class.path"),
                "merlinrouter.simulator.SimulatorAdapter",
                "simulate")
            .start();
    try (var in = process.getOutputStream()) {
      in.write(input.getBytes(StandardCharsets.UTF_8));
    }
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    return new ProcessResult(process.exitValue(), out, err);
  }

  @Test
  void emptyBatchGetsEmptyReply() throws Exception {
    assertEquals(
        new ProcessResult(0, "yield\nyield\n", ""), simulate("mark 5\ncommit\nmark 6\ncommit\n"));
  }

  @Test
  void instanceHandlesEventsUntilItIsStopped() throws Exception {
    String start =
        "start 3 9 classes.count=1 classes.0.aim-ns=500000000"
            + " classes.0.deadline-ns=900000000 classes.0.idempotency=retryable classes.0.worth=1"
            + " caps.max-attempts=2 tariffs.count=1 odd.key=- ";
    ProcessResult result =
        simulate(
            "mark 5\n"
                + start
                + "\nview 3 1 1 1\nentry 1 0 1 - 0 srv 0\n"
                + "ingress 3 r-a 0 0 77 800000005 1 1 0 -\nretire 3\ncommit\n");
    assertEquals(0, result.exitStatus, result.err);
    assertTrue(result.out.contains("try 3 r-a srv "), result.out);
    ProcessResult stopped = simulate("mark 5\n" + start + "\nretire 3\nreminder 3 0\ncommit\n");
    assertEquals(1, stopped.exitStatus);
    assertTrue(stopped.err.contains("line 4"), stopped.err);
  }

  @Test
  void malformedInputEndsTheProcessAndNamesTheLine() throws Exception {
    for (String malformed :
        new String[] {"hello\n", "mark x\n", "mark 5\nnonsense 1\n", "mark 5\nreminder one 2\n"}) {
      ProcessResult result = simulate(malformed);
      assertEquals(1, result.exitStatus, malformed);
      assertTrue(result.err.startsWith("line "), result.err);
    }
  }
}
