package merlinrouter.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the template of all nodes' configurations. */
class NodeTemplateTest {
  @Test
  void limitsAndDeadlinesAreReadFromTheTemplate() {
    assertEquals(1_024, NodeTemplate.maxSockets());
    assertEquals(Duration.ofMillis(2_500), NodeTemplate.longestDeadline());
  }

  @Test
  void eachCopyIsANewObject() {
    assertNotSame(NodeTemplate.copy(), NodeTemplate.copy());
  }
}
