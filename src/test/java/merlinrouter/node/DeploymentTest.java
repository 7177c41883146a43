package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The command that the deploy file starts a node with, on the classes at hand instead of the jar.
 */
@Timeout(120)
class DeploymentTest extends NodeFixture {
  private static final int FLEET = 1_024;

  @TempDir Path folder;

  private static String run() throws Exception {
    String line =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(l -> l.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = line.substring("run = \"".length(), line.length() - 1);
    String onClasses =
        command
            .replace("-jar target/merlinrouter.jar", "-cp \"$CLASSES\" merlinrouter.Main")
            .replaceFirst(" -XX:SharedArchiveFile=\\S+", "");
    assertTrue(onClasses.contains("$CLASSES") && onClasses.startsWith("exec "), command);
    return onClasses;
  }

  /**
   * A JVM takes no handler for a hang-up that it was started to ignore, and so was deaf to every
   * move.
   */
  @Test
  void aHangUpIsHeardThoughTheNodeWasStartedToIgnoreIt() throws Exception {
    Path file = folder.resolve("config.json");
    ScriptedServer elsewhere = startServer(request -> request.respond(UNCHANGED_LIST));
    String config = configJson();
    Files.writeString(file, config);
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; " + run()).redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", file.toString());
    builder.environment().put("CLASSES", System.getProperty("java.class.path"));
    Process process = builder.start();
    resources.add(process::destroyForcibly);
    BufferedReader said =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    ReloadTest.await(said, "serving on");
    discovery.awaitRequest();
    Files.writeString(file, config.replace(discovery.address(), elsewhere.address()));
    ReloadTest.hangUp(process);
    elsewhere.awaitRequest();
    assertEquals(0, process.descendants().count(), "one process, which began no other");
    process.destroy();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
  }

  /**
   * Kept from being read as the node is made: the file is a pipe, which is read when it is written
   * to.
   */
  @Test
  void aHangUpWhileTheFileIsReadHasItReadAgain() throws Exception {
    Path file = folder.resolve("config.pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
    ScriptedServer elsewhere = startServer(request -> request.respond(UNCHANGED_LIST));
    String config = configJson();
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run()).redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", file.toString());
    builder.environment().put("CLASSES", System.getProperty("java.class.path"));
    Process process = builder.start();
    resources.add(process::destroyForcibly);
    BufferedReader said =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    Files.writeString(file, config);
    ReloadTest.await(said, "warmed up with");
    // Opening a pipe to write waits for its reader, so the node is in its second reading now.
    try (var writing = Files.newOutputStream(file)) {
      ReloadTest.hangUp(process);
      ReloadTest.await(said, "the configuration will be read again");
      // Whoever opens the name from now on reads the new file; the pipe's reader has the old one.
      Path changed =
          Files.writeString(
              folder.resolve("changed"), config.replace(discovery.address(), elsewhere.address()));
      Files.move(changed, file, StandardCopyOption.ATOMIC_MOVE);
      writing.write(config.getBytes(StandardCharsets.UTF_8));
    }
    elsewhere.awaitRequest();
    process.destroy();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
  }

  private static String each(int from, int to, String phase, ScriptedServer last) {
    StringBuilder members = new StringBuilder();
    for (int i = from; i < to; i++) {
      String address =
          i == FLEET - 1 ? last.address() : "127.1." + i / 250 + "." + (1 + i % 250) + ":8081";
      members
          .append(i > from ? "," : "")
          .append(endpointJson("a-server-of-a-large-fleet-" + i, address, phase, 0));
    }
    return members.toString();
  }

  /**
   * As many as no cap may fall under, beside 119 other nodes: known, told at full length and taken
   * away again.
   */
  @Test
  void aFleetOf1024ServersAnd120NodesFitsWhatRunGivesIt() throws Exception {
    ScriptedServer server = startOkServer("x");
    Path file = folder.resolve("config.json");
    discovery =
        startServer(
            request -> {
              request.respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              String whole =
                  new ObjectMapper()
                      .readTree(
                          "{\"revision\":6,\"complete\":true,\"members\":["
                              + each(0, FLEET, "Ready", server)
                              + "]}")
                      .toPrettyString()
                      .replace("\n", "\n        ");
              for (int at = 0; at < whole.length(); at += 4_096) {
                request.respond(
                    ScriptedServer.chunk(
                        whole.substring(at, Math.min(whole.length(), at + 4_096))));
              }
              request.respond(
                  ScriptedServer.chunk(
                      "\n{\"revision\":7,\"complete\":false,\"members\":["
                          + each(0, FLEET - 1, "Gone", server)
                          + "]}\n"));
            });
    Files.writeString(
        file,
        configJson(each(0, FLEET, "Ready", server))
            .replace("\"siblings\": 2", "\"siblings\": 120"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run()).redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", file.toString());
    builder.environment().put("CLASSES", System.getProperty("java.class.path"));
    Process process = builder.start();
    resources.add(process::destroyForcibly);
    BufferedReader said =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String[] at = ReloadTest.await(said, "serving on").replaceAll(".*/", "").split(":");
    Socket client = new Socket(at[0], Integer.parseInt(at[1]));
    resources.add(client);
    // Only who has read both lists to their ends knows that none but the last server is left.
    String status = "";
    for (int i = 0; i < 1_000 && !status.equals("200"); i++) {
      status = requestStatus(client, "f-" + i);
    }
    for (int i = 0; i < 20; i++) {
      assertEquals("200", requestStatus(client, "g-" + i));
    }
  }

  /**
   * Idle clients come as long as discovery is down; what the node needs for itself is not theirs to
   * take.
   */
  @Test
  void idleClientsThatFillTheDescriptorsLeaveRoomForListCounterAndServers() throws Exception {
    ScriptedServer server = startOkServer("x");
    CompletableFuture<Void> back = new CompletableFuture<>();
    CompletableFuture<Void> asked = new CompletableFuture<>();
    counterScript =
        request -> {
          asked.complete(null);
          request.respond(ScriptedServer.okResponse("", "1"));
        };
    discovery =
        startServer(
            request -> {
              back.join();
              request.respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              request.respond(
                  ScriptedServer.chunk(
                      "{\"revision\":6,\"complete\":true,\"members\":["
                          + readyEndpointJson("s-1", server.address())
                          + "]}\n"));
            });
    Path file = folder.resolve("config.json");
    Files.writeString(file, configJson().replace("\"sockets\": 1024", "\"sockets\": 256"));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", "ulimit -n 256; " + run()).redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", file.toString());
    builder.environment().put("CLASSES", System.getProperty("java.class.path"));
    Process process = builder.start();
    resources.add(process::destroyForcibly);
    // A node that hangs is ended, so that what waits for its word fails.
    CompletableFuture.delayedExecutor(90, TimeUnit.SECONDS).execute(process::destroyForcibly);
    BufferedReader said =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String[] at = ReloadTest.await(said, "serving on").replaceAll(".*/", "").split(":");
    StringBuilder lines = new StringBuilder();
    Thread reading =
        new Thread(
            () ->
                said.lines()
                    .forEach(
                        line -> {
                          synchronized (lines) {
                            lines.append(line).append('\n');
                          }
                        }));
    reading.setDaemon(true);
    reading.start();
    InetSocketAddress node = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
    for (int i = 0; i < 400; i++) {
      resources.add(connect(node));
    }
    back.complete(null);
    String status = "";
    for (int i = 0; !status.equals("200"); i++) {
      // Each on a connection of its own, beside one more idle one.
      resources.add(connect(node));
      Socket usual = connect(node);
      resources.add(usual);
      Map<String, String> headers = requestHeaders("u-" + i, "order", "20000");
      headers.put("X-Quota", "units=1,spread=2,first=0");
      writeRequest(usual, "POST /api", headers, "book");
      status = readStatus(usual);
    }
    asked.get();
    synchronized (lines) {
      assertFalse(lines.toString().contains("open files"), lines.toString());
    }
  }
}
