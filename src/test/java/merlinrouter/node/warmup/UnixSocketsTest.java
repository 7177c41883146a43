package merlinrouter.node.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A start must not spend its time on a warm-up that cannot connect. */
class UnixSocketsTest {
  @TempDir Path folder;

  @Test
  void theyAreUsableWhereAProcessCanConnectToItself() throws Exception {
    assertTrue(UnixSockets.areUsable(folder));
    try (Stream<Path> files = Files.list(folder)) {
      assertEquals(0, files.count(), "it must leave no file");
    }
  }

  @Test
  void theyAreNotUsableWhereNoSocketCanBeMade() {
    assertFalse(UnixSockets.areUsable(folder.resolve("none")));
  }
}
