package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
