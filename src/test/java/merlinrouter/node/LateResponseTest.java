package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import merlinrouter.node.request.RequestTimeline;
import merlinrouter.node.transport.EventLoops;
import org.junit.jupiter.api.Test;

/** The log line of a response after its client's deadline has the request's stages and stalls. */
class LateResponseTest extends EventLoopFixture {
  private static final long STALL_MILLIS = 60;

  private static final Pattern LATE_LINE =
      Pattern.compile(
          "request t-1 RESPONDED_LATE: client's deadline 400 ms after the arrival, READ -,"
              + " ADMITTED \\d+, ATTEMPT_STARTED \\d+, ATTEMPT_ENDED -, RESPONDED \\d+"
              + "(; event loop stalled until \\d+ for \\d+ ms \\(overslept .*\\))+");

  @Test
  void lateResponseIsLoggedWithTheStallsThatItCrossed() throws Exception {
    EdgeNode node = startNode(startEchoServer());
    String output = captureOutput(() -> respondLateBehindStall(node));
    assertTrue(
        output.lines().anyMatch(line -> LATE_LINE.matcher(line).matches()),
        () -> "logged: " + output);
  }

  /** The client's deadline has already passed, so the response is late on any machine. */
  private static void respondLateBehindStall(EdgeNode node) throws Exception {
    long arrivedAtNanos = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
    RequestTimeline timeline =
        new RequestTimeline(arrivedAtNanos, TimeUnit.MILLISECONDS.toNanos(400));
    CompletableFuture<String> response =
        callOnEventLoop(
            node,
            () -> {
              CompletableFuture<String> submitted = submitRequest(node, "t-1", timeline);
              Thread.sleep(STALL_MILLIS);
              return submitted;
            });
    assertEquals("failed", response.get());
    // The line is written when the turn of the event loop has ended.
    CompletableFuture<Void> polled = new CompletableFuture<>();
    EventLoops.runAfterNextPoll(node.loop(), 0, () -> polled.complete(null));
    polled.get();
  }

  private static String captureOutput(Action action) throws Exception {
    PrintStream standardOutput = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      action.run();
    } finally {
      System.setOut(standardOutput);
    }
    return output.toString(StandardCharsets.UTF_8);
  }
}
