package merlinrouter.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** What the template of all nodes' configurations says. */
class NodeTemplateTest {
  @Test
  void limitsAndDeadlinesAreThoseOfTheFile() {
    assertEquals(1_024, NodeTemplate.maxSockets());
    assertEquals(Duration.ofMillis(2_500), NodeTemplate.longestDeadline());
  }

  @Test
  void aCopyMayBeChanged() {
    assertNotSame(NodeTemplate.copy(), NodeTemplate.copy());
  }
}
