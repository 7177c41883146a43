package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests clients whose requests together would take more memory than the deploy file's heap. */
@Timeout(120)
class ClientMemoryTest extends DeploymentFixture {
  /** A third of the 1,024 sockets of the configuration. */
  private static final int CLIENTS = 340;

  /** Just below the maximum size of a head, which is 8,192 bytes. */
  private static final int HEADER_BYTES = 8_100;

  /** With 50 KB each they send about twice as much as the smallest budget allows. */
  private static final int PIPELINING_CLIENTS = 40;

  private static final int PIPELINED_REQUESTS = 100;
  private static final int PAD_BYTES = 480;

  private static String shortHeaderLines() {
    String line = "a: 1\r\n";
    return line.repeat(HEADER_BYTES / line.length());
  }

  /**
   * Guards against an OutOfMemoryError: a head of many short lines takes many times its bytes once
   * it is decoded, while it is incomplete, while its body is, and while its trailers are.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nHEADERS",
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 2\r\nHEADERS\r\n",
        "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nHEADERS",
      })
  void incompleteRequestsOfManyHeaderLinesFitTheHeap(String request) throws Exception {
    ScriptedServer server = startOkServer("x");
    Path file = folder.resolve("config.json");
    Files.writeString(file, configJson(readyEndpointJson("s-0", server.address())));
    NodeProcess process = startScript(runCommand(), file);
    InetSocketAddress node = process.awaitServing();
    for (Socket client : connectAndWrite(node, request.replace("HEADERS", shortHeaderLines()))) {
      awaitRejection(client);
    }
    Socket usual = connect(node);
    resources.add(usual);
    assertEquals("200", requestStatus(usual, "t-1"));
    assertEquals(0, process.terminate());
  }

  /** Guards against a limit on memory that refuses requests which could have waited unread. */
  @Test
  void pipelinedBurstsBeyondTheMemoryBudgetGetAllResponses() throws Exception {
    EdgeNode node =
        startNode(configJson().replace("\"sockets\"", "\"memory_mb\": 16, \"sockets\""));
    String request = "GET /_health HTTP/1.1\r\nX-Pad: " + "x".repeat(PAD_BYTES) + "\r\n\r\n";
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < PIPELINING_CLIENTS; i++) {
      clients.add(connect(node));
    }
    // The node reads nothing before all clients have written everything.
    node.loop()
        .submit(
            () -> {
              for (Socket client : clients) {
                writeText(client, request.repeat(PIPELINED_REQUESTS));
              }
              return null;
            })
        .get();
    for (Socket client : clients) {
      for (int i = 0; i < PIPELINED_REQUESTS; i++) {
        ScriptedServer.Message response = ScriptedServer.readMessage(client);
        assertNull(response.headers().get("connection"), response.startLine());
      }
    }
  }

  private List<Socket> connectAndWrite(InetSocketAddress node, String text) throws IOException {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Socket client = connect(node);
      resources.add(client);
      clients.add(client);
      writeText(client, text);
    }
    return clients;
  }

  /** Waits for the response and the close; a reset may replace them if bytes are left unread. */
  private static void awaitRejection(Socket client) {
    try {
      ScriptedServer.readMessage(client);
    } catch (IOException e) {
      // The node has closed the connection.
    }
  }
}
