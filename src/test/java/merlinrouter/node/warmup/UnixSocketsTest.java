package merlinrouter.node.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a start that spends time on a warm-up which cannot connect. */
class UnixSocketsTest {
  @TempDir Path folder;

  @Test
  void socketsAreUsableIfTheProcessCanConnectToItself() throws Exception {
    assertTrue(UnixSockets.areUsable(folder));
    try (Stream<Path> files = Files.list(folder)) {
      assertEquals(0, files.count(), "the check must delete its socket file");
    }
  }

  @Test
  void socketsAreNotUsableIfNoSocketFileCanBeCreated() {
    assertFalse(UnixSockets.areUsable(folder.resolve("none")));
  }
}
