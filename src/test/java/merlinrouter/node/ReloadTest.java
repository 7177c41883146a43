package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.NodeConfigReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A new configuration while the node serves. */
@Timeout(120)
class ReloadTest extends NodeFixture {
  @TempDir Path folder;

  @Test
  void theOldListServesUntilTheNewWatchSpeaks() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    ScriptedServer old = startOkServer("old");
    ScriptedServer fresh = startOkServer("new");
    String config = configJson(readyEndpointJson("s-0", old.address()));
    EdgeNode node = startNode(config);
    ScriptedServer elsewhere =
        startServer(
            request -> {
              go.join();
              request.respond(
                  watchResponse(fullListJson(9, readyEndpointJson("s-1", fresh.address()))));
            });
    discovery.awaitRequest();
    node.reload(NodeConfigReader.parse(config.replace(discovery.address(), elsewhere.address())));
    assertNotNull(discovery.endedConnections.poll(60, TimeUnit.SECONDS), "the old watch must end");
    assertTrue(elsewhere.awaitRequest().startLine().contains("watch=1&after=5"));
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    assertEquals("old", ScriptedServer.readMessage(client).body());
    go.complete(null);
    assertNotNull(
        old.endedConnections.poll(60, TimeUnit.SECONDS), "what the new list leaves out must go");
    writeKeyedRequest(client, "t-2");
    assertEquals("new", ScriptedServer.readMessage(client).body());
  }

  /** Without a handler the signal ends the JVM: this needs a process of its own. */
  @Test
  void aHangupReadsTheFileAgainAndABadFileChangesNothing() throws Exception {
    Path file = folder.resolve("config.json");
    ScriptedServer elsewhere = startServer(request -> request.respond(UNCHANGED_LIST));
    String config = configJson();
    Files.writeString(file, config);
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "merlinrouter.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", file.toString());
    Process process = builder.start();
    resources.add(process::destroyForcibly);
    BufferedReader said =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    await(said, "serving on");
    discovery.awaitRequest();
    Files.writeString(file, "{");
    hangUp(process);
    await(said, "the configuration stays as it was");
    Files.writeString(file, config.replace(discovery.address(), elsewhere.address()));
    hangUp(process);
    elsewhere.awaitRequest();
    process.destroy();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
  }

  static String await(BufferedReader said, String start) throws IOException {
    String line = said.readLine();
    while (line != null && !line.startsWith(start)) {
      line = said.readLine();
    }
    assertNotNull(line, "the process ended before it said: " + start);
    return line;
  }

  static void hangUp(Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }
}
