package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.NodeConfigReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Reload of the configuration while the node serves. */
@Timeout(120)
class ReloadTest extends NodeFixture {
  @TempDir Path folder;

  @Test
  void previousListIsUsedUntilNewWatchSendsOne() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    ScriptedServer previous = startOkServer("old");
    ScriptedServer added = startOkServer("new");
    String config = configJson(readyEndpointJson("s-0", previous.address()));
    EdgeNode node = startNode(config);
    ScriptedServer newDiscovery =
        startServer(
            request -> {
              proceed.join();
              request.respond(
                  watchResponse(fullListJson(9, readyEndpointJson("s-1", added.address()))));
            });
    discovery.awaitRequest();
    node.reload(
        NodeConfigReader.parse(config.replace(discovery.address(), newDiscovery.address())));
    assertNotNull(
        discovery.endedConnections.poll(60, TimeUnit.SECONDS), "the previous watch must end");
    assertTrue(newDiscovery.awaitRequest().startLine().contains("watch=1&after=5"));
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    assertEquals("old", ScriptedServer.readMessage(client).body());
    proceed.complete(null);
    assertNotNull(
        previous.endedConnections.poll(60, TimeUnit.SECONDS),
        "connections to an endpoint missing from the new list must be closed");
    writeKeyedRequest(client, "t-2");
    assertEquals("new", ScriptedServer.readMessage(client).body());
  }

  /** SIGHUP terminates a JVM without a handler for it, so the node runs in its own process. */
  @Test
  void hangupReloadsConfigurationAndInvalidFileChangesNothing() throws Exception {
    Path file = folder.resolve("config.json");
    ScriptedServer newDiscovery = startServer(request -> request.respond(UNCHANGED_LIST));
    String config = configJson();
    Files.writeString(file, config);
    NodeProcess process = NodeProcess.start(file, Map.of());
    resources.add(process);
    process.awaitServing();
    discovery.awaitRequest();
    Files.writeString(file, "{");
    process.sendHangup();
    process.awaitLine(NodeProcess.RELOAD_FAILED);
    Files.writeString(file, config.replace(discovery.address(), newDiscovery.address()));
    process.sendHangup();
    newDiscovery.awaitRequest();
    assertEquals(0, process.terminate());
  }

  /** A JVM that inherits SIGHUP as ignored, as under nohup, can never reload. */
  @Test
  void ignoredHangupIsLoggedAtTheStart() throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, configJson());
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    NodeProcess process =
        NodeProcess.startScript(
            "trap '' HUP; exec " + java + " -cp \"$CLASSES\" merlinrouter.Main serve", file);
    resources.add(process);
    process.awaitLine(NodeProcess.HANGUP_IGNORED);
    process.awaitServing();
    assertEquals(0, process.terminate());
  }
}
