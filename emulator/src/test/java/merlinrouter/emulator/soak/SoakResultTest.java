package merlinrouter.emulator.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import merlinrouter.emulator.invariant.DrainDelay;
import merlinrouter.emulator.soak.SoakResult.Verdict;
import org.junit.jupiter.api.Test;

/** Tests the verdict of a run. */
class SoakResultTest {
  private static SoakResult result(int inconclusiveRequests, List<NodeFault> nodeFaults) {
    return new SoakResult(
        Map.of("RESPONDED 200", 1_000),
        List.of(),
        List.of(),
        inconclusiveRequests,
        nodeFaults,
        0,
        Map.of(),
        List.of(),
        new DrainDelay(0, 0, "", 0),
        new ResponseMargins(List.of()));
  }

  @Test
  void aRunWithFewInconclusiveRequestsPasses() {
    assertEquals(Verdict.PASSED, result(10, List.of()).verdict());
  }

  @Test
  void aRunWithMoreThanOneInconclusiveRequestInAHundredHasNoVerdict() {
    assertEquals(Verdict.NONE, result(11, List.of()).verdict());
  }

  @Test
  void aNodeFaultFailsTheRunRegardlessOfTheEmulatorsLateness() {
    assertEquals(Verdict.FAILED, result(500, List.of(new NodeFault("n0", "ended"))).verdict());
  }
}
