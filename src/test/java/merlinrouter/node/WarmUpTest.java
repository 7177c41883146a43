package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.config.NodeConfigReader;
import merlinrouter.node.warmup.WarmUp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The JVM warm-up before a node serves, which makes no connection to other processes. */
class WarmUpTest extends NodeFixture {
  @TempDir Path folder;

  private long fileCount() throws Exception {
    try (Stream<Path> files = Files.list(folder)) {
      return files.count();
    }
  }

  @Test
  void requestsAreHandledByTheWholeNodeAndReachNoPeer() throws Exception {
    ScriptedServer server = startOkServer("real");
    NodeConfig config =
        NodeConfigReader.parse(configJson(readyEndpointJson("s-0", server.address())));
    assertTrue(WarmUp.run(config, 200, 60_000, folder) > 100);
    assertNull(server.received.poll());
    assertNull(counter.received.poll());
    assertNull(discovery.received.poll());
    assertEquals(0, fileCount(), "the warm-up must leave no files");
  }

  /** A container that is started again often has the same process id. */
  @Test
  void filesOfAKilledProcessWithTheSameIdDoNotKeepTheNodeFromItsWarmUp() throws Exception {
    long pid = ProcessHandle.current().pid();
    Files.createDirectory(folder.resolve("warm-up-" + pid));
    Files.createFile(folder.resolve("probe-" + pid));
    NodeConfig config = NodeConfigReader.parse(configJson());
    assertTrue(WarmUp.run(config, 10, 60_000, folder) > 0);
    assertEquals(2, fileCount(), "files of other processes must stay");
  }

  @Test
  void warmUpEndsAtItsTimeLimitAndIsSkippedWithoutAFolder() throws Exception {
    NodeConfig config = NodeConfigReader.parse(configJson());
    WarmUp.run(config, Integer.MAX_VALUE, 1, folder);
    assertEquals(0, fileCount());
    assertEquals(0, WarmUp.run(config, 1, 60_000, folder.resolve("none")));
  }

  /** A node that serves without a warm-up rejects most of its first requests. */
  @Test
  void processWarmsUpBeforeItServes() throws Exception {
    ScriptedServer server = startOkServer("real");
    Path file = folder.resolve("config.json");
    Files.writeString(file, configJson(readyEndpointJson("s-0", server.address())));
    NodeProcess process = NodeProcess.start(file, Map.of("TMPDIR", folder.toString()));
    resources.add(process);
    String line = process.readLine();
    while (line != null && !line.startsWith(NodeProcess.WARMED_UP)) {
      assertTrue(
          !line.startsWith(NodeProcess.SERVING), "the process serves without a warm-up: " + line);
      line = process.readLine();
    }
    assertTrue(Integer.parseInt(line.split(" ")[3]) > 0, line);
    line = process.readLine();
    // Discovery may respond to the node's watch before the process says that it serves.
    while (line != null && line.startsWith(NodeProcess.WATCH)) {
      line = process.readLine();
    }
    assertTrue(line != null && line.startsWith(NodeProcess.SERVING), line);
    try (Socket client = connect(NodeProcess.addressOf(line))) {
      assertEquals("200", requestStatus(client, "t-1"));
    }
    assertEquals(0, process.terminate());
    assertEquals(1, fileCount(), "only the configuration file must remain");
  }
}
