package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How a node follows the endpoint lists and updates of discovery. */
@Timeout(120)
class EndpointListTest extends NodeFixture {
  @Test
  void watchThatEndsResumesAfterItsLastRevision() throws Exception {
    ScriptedServer moved = peer(m -> m.answer(ScriptedServer.ok("", "new")));
    ScriptedServer old = peer(m -> m.answer(ScriptedServer.ok("", "old")));
    String line =
        "{\"revision\":8,\"complete\":false,\"members\":["
            + member("s-0", moved.address(), "Ready", System.currentTimeMillis() - 60_000)
            + "]}\n";
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              if (m.first().contains("after=5")) {
                proceed.join();
                m.answer(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(line.length())
                        + "\r\n"
                        + line
                        + "\r\n0\r\n\r\n");
              }
            });
    EdgeNode node = node(old);
    Socket client = client(node);
    order(client, "t-1");
    assertEquals("old", ScriptedServer.read(client).body());
    proceed.complete(null);
    assertTrue(discovery.next().first().contains("watch=1&after=5"));
    assertTrue(discovery.next().first().contains("watch=1&after=8"));
    // The endpoint restarted elsewhere: the connection to its old address closes.
    assertNotNull(old.ended.poll(60, TimeUnit.SECONDS));
    order(client, "t-2");
    assertEquals("new", ScriptedServer.read(client).body());
  }

  /** Under its predecessor's id, a new endpoint would get requests after it announced its drain. */
  @Test
  void addressBelongsToTheEndpointThatStartedThereLast() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    List<CompletableFuture<Void>> proceed =
        List.of(new CompletableFuture<>(), new CompletableFuture<>());
    discovery =
        peer(
            m -> {
              StringBuilder head =
                  new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              for (int i = 0; i < 2; i++) {
                proceed.get(i).join();
                String line =
                    "{\"revision\":"
                        + (8 + i)
                        + ",\"complete\":false,\"members\":["
                        + member(
                            "s-1",
                            server.address(),
                            i == 0 ? "Ready" : "Terminating",
                            System.currentTimeMillis() - 60_000)
                        + "]}\n";
                m.answer(head + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                head.setLength(0);
              }
            });
    EdgeNode node = node(server);
    for (int i = 0; i < 2; i++) {
      assertEquals("200", ask(client(node), "t-" + i));
      server.next();
      proceed.get(i).complete(null);
      assertNotNull(
          server.ended.poll(60, TimeUnit.SECONDS), "connections to a former endpoint must close");
    }
    Socket client = client(node);
    write(client, "POST /api", headers("t-2", "order", "1500"), "");
    ScriptedServer.Message rejection = ScriptedServer.read(client);
    assertEquals("429", status(rejection));
    double retryAfter = Double.parseDouble(rejection.headers().get("retry-after"));
    assertTrue(
        retryAfter > 0 && retryAfter <= 0.5,
        "Retry-After must be there, and no longer than a client waits");
    assertTrue(server.seen.isEmpty());
  }

  /** A close does not stop the decoding of bytes that were read already. */
  @Test
  void errorResponseOfDiscoveryIsNotAnEndpointList() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    String list = "{\"revision\":9,\"complete\":true,\"members\":[]}\n";
    discovery =
        peer(
            m ->
                m.answer(
                    "HTTP/1.1 404 No\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
    EdgeNode node = node(server);
    discovery.next();
    assertTrue(
        discovery.next().first().contains("after=5"), "the revision of an error's body was used");
    assertEquals("200", ask(client(node), "t-1"));
  }
}
