package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.config.NodeConfigReader;
import merlinrouter.node.warmup.WarmUp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** JVM warm-up before a node serves, which no peer notices. */
class WarmUpTest extends NodeFixture {
  @TempDir Path folder;

  private long fileCount() throws Exception {
    try (Stream<Path> files = Files.list(folder)) {
      return files.count();
    }
  }

  @Test
  void requestsPassTheWholeNodeAndReachNoPeer() throws Exception {
    ScriptedServer server = startOkServer("real");
    NodeConfig config =
        NodeConfigReader.parse(configJson(readyEndpointJson("s-0", server.address())));
    assertTrue(WarmUp.run(config, 200, 60_000, folder) > 100);
    assertNull(server.received.poll());
    assertNull(counter.received.poll());
    assertNull(discovery.received.poll());
    assertEquals(0, fileCount(), "it must leave no file");
  }

  @Test
  void itEndsWhenItsTimeIsUpAndIsSkippedWithoutAFolder() throws Exception {
    NodeConfig config = NodeConfigReader.parse(configJson());
    WarmUp.run(config, Integer.MAX_VALUE, 1, folder);
    assertEquals(0, fileCount());
    assertEquals(0, WarmUp.run(config, 1, 60_000, folder.resolve("none")));
  }

  /** A node that serves without a warm-up rejects most of its first requests. */
  @Test
  void theProgramWarmsUpBeforeItServes() throws Exception {
    ScriptedServer server = startOkServer("real");
    Path file = folder.resolve("config.json");
    Files.writeString(file, configJson(readyEndpointJson("s-0", server.address())));
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "merlinrouter.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", file.toString());
    builder.environment().put("TMPDIR", folder.toString());
    Process process = builder.start();
    resources.add(process::destroyForcibly);
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String line = output.readLine();
    while (line != null && !line.startsWith("warmed up with")) {
      assertTrue(!line.startsWith("serving on"), "it serves without a warm-up");
      line = output.readLine();
    }
    assertTrue(Integer.parseInt(line.split(" ")[3]) > 0, line);
    line = output.readLine();
    assertTrue(line.startsWith("serving on"), line);
    try (Socket client =
        new Socket("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)))) {
      client.setSoTimeout(60_000);
      assertEquals("200", requestStatus(client, "t-1"));
    }
    process.destroy();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
    assertEquals(1, fileCount(), "only the configuration is left");
  }
}
