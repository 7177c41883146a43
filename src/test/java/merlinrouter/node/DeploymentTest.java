package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs the command of the deploy file, with the test's classes instead of the jar. */
@Timeout(120)
class DeploymentTest extends DeploymentFixture {
  private static final int FLEET_ENDPOINTS = 1_024;
  private static final int FLEET_NODES = 120;
  private static final int LIST_CHUNK_BYTES = 4_096;
  private static final int MAX_REQUESTS_UNTIL_LISTED = 1_000;
  private static final int MAX_DESCRIPTORS = 256;
  private static final int IDLE_CLIENTS = 400;
  private static final long MAX_TEST_SECONDS = 90;

  /** A JVM started with SIGHUP ignored sets no handler, so the command must reset the signal. */
  @Test
  void hangupReloadsConfigurationThoughIgnoredAtTheStart() throws Exception {
    Path file = folder.resolve("config.json");
    ScriptedServer newDiscovery = startServer(request -> request.respond(UNCHANGED_LIST));
    String config = configJson();
    Files.writeString(file, config);
    NodeProcess process = startScript("trap '' HUP; " + runCommand(), file);
    process.awaitServing();
    discovery.awaitRequest();
    Files.writeString(file, config.replace(discovery.address(), newDiscovery.address()));
    process.sendHangup();
    newDiscovery.awaitRequest();
    assertEquals(0, process.childCount(), "the command must run in one process");
    assertEquals(0, process.terminate());
  }

  /** The configuration is a named pipe, so that the test controls when its read completes. */
  @Test
  void hangupWhileConfigurationIsReadCausesAnotherRead() throws Exception {
    Path file = folder.resolve("config.pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
    ScriptedServer newDiscovery = startServer(request -> request.respond(UNCHANGED_LIST));
    String config = configJson();
    NodeProcess process = startScript(runCommand(), file);
    Files.writeString(file, config);
    process.awaitLine(NodeProcess.WARMED_UP);
    // Opening a pipe for writing blocks until it is opened for reading: the second read has begun.
    try (var pipe = Files.newOutputStream(file)) {
      process.sendHangup();
      process.awaitLine(NodeProcess.RELOAD_POSTPONED);
      // Opening the path from now on yields the new file; the second read continues with the pipe.
      Path changed =
          Files.writeString(
              folder.resolve("changed"),
              config.replace(discovery.address(), newDiscovery.address()));
      Files.move(changed, file, StandardCopyOption.ATOMIC_MOVE);
      pipe.write(config.getBytes(StandardCharsets.UTF_8));
    }
    newDiscovery.awaitRequest();
    process.terminate();
  }

  private static String[] fleetEntries(int endpoints, String phase, ScriptedServer last) {
    String[] entries = new String[endpoints];
    for (int i = 0; i < endpoints; i++) {
      String address =
          i == FLEET_ENDPOINTS - 1
              ? last.address()
              : "127.1." + i / 250 + "." + (1 + i % 250) + ":8081";
      entries[i] = endpointJson("a-server-of-a-large-fleet-" + i, address, phase, 0);
    }
    return entries;
  }

  /** Sends the whole fleet, indented and in many chunks, then removals of all but the last. */
  private static void sendFleetAndRemovals(ScriptedServer.Message watch, ScriptedServer last)
      throws IOException {
    watch.respond(ScriptedServer.CHUNKED_RESPONSE_HEAD);
    String list =
        new ObjectMapper()
            .readTree(fullListJson(6, fleetEntries(FLEET_ENDPOINTS, "Ready", last)))
            .toPrettyString()
            .replace("\n", "\n        ");
    for (int start = 0; start < list.length(); start += LIST_CHUNK_BYTES) {
      int end = Math.min(list.length(), start + LIST_CHUNK_BYTES);
      watch.respond(ScriptedServer.chunk(list.substring(start, end)));
    }
    String removals = updateJson(7, fleetEntries(FLEET_ENDPOINTS - 1, "Gone", last));
    watch.respond(ScriptedServer.chunk("\n" + removals + "\n"));
  }

  /** The largest fleet that must be supported has to fit the heap size that the command sets. */
  @Test
  void fleetOf1024EndpointsAnd120NodesFitsTheHeap() throws Exception {
    ScriptedServer server = startOkServer("x");
    Path file = folder.resolve("config.json");
    discovery = startServer(request -> sendFleetAndRemovals(request, server));
    Files.writeString(
        file,
        withSetting(
            configJson(fleetEntries(FLEET_ENDPOINTS, "Ready", server)), "siblings", FLEET_NODES));
    NodeProcess process = startScript(runCommand(), file);
    Socket client = connect(process.awaitServing());
    resources.add(client);
    // Requests are certain to be served only after both the list and the update have been read.
    String status = "";
    for (int i = 0; i < MAX_REQUESTS_UNTIL_LISTED && !status.equals("200"); i++) {
      status = requestStatus(client, "f-" + i);
    }
    for (int i = 0; i < 20; i++) {
      assertEquals("200", requestStatus(client, "g-" + i));
    }
  }

  /** While discovery is silent, idle clients must leave enough descriptors for the node. */
  @Test
  void idleClientsLeaveDescriptorsForDiscoveryCounterAndEndpoints() throws Exception {
    ScriptedServer server = startOkServer("x");
    CompletableFuture<Void> discoveryResumed = new CompletableFuture<>();
    CompletableFuture<Void> counterCalled = new CompletableFuture<>();
    counterScript =
        request -> {
          counterCalled.complete(null);
          request.respond(ScriptedServer.okResponse("", "1"));
        };
    discovery =
        startServer(
            request -> {
              discoveryResumed.join();
              request.respond(
                  watchResponse(fullListJson(6, readyEndpointJson("s-1", server.address()))));
            });
    Path file = folder.resolve("config.json");
    Files.writeString(file, withSetting(configJson(), "sockets", MAX_DESCRIPTORS));
    NodeProcess process = startScript("ulimit -n " + MAX_DESCRIPTORS + "; " + runCommand(), file);
    // A hanging node is killed, so that the reads below fail instead of blocking.
    CompletableFuture.delayedExecutor(MAX_TEST_SECONDS, TimeUnit.SECONDS).execute(process::close);
    InetSocketAddress node = process.awaitServing();
    BlockingQueue<String> lines = collectLines(process);
    for (int i = 0; i < IDLE_CLIENTS; i++) {
      openIdleClient(node);
    }
    discoveryResumed.complete(null);
    requestUntilServed(node);
    counterCalled.get();
    List<String> written = new ArrayList<>(lines);
    assertFalse(written.stream().anyMatch(line -> line.contains("open files")), written::toString);
  }

  /** Reads the process's output on a separate thread, so that the process never blocks on it. */
  private static BlockingQueue<String> collectLines(NodeProcess process) {
    BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    Thread reader = new Thread(() -> process.lines().forEach(lines::add));
    reader.setDaemon(true);
    reader.start();
    return lines;
  }

  private Socket openIdleClient(InetSocketAddress node) throws IOException {
    Socket client = connect(node);
    resources.add(client);
    return client;
  }

  /** Sends requests, each on a new connection and after one more idle client, until a 200. */
  private void requestUntilServed(InetSocketAddress node) throws IOException {
    String status = "";
    for (int i = 0; !status.equals("200"); i++) {
      openIdleClient(node);
      Socket client = openIdleClient(node);
      Map<String, String> headers = requestHeaders("u-" + i, "order", "20000");
      headers.put("X-Quota", "units=1,spread=2,first=0");
      writeRequest(client, "POST /api", headers, "book");
      status = readStatus(client);
    }
  }
}
