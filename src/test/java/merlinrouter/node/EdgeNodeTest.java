package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Forwarding between scripted peers on loopback sockets; each test waits for events, never for a
 * time.
 */
@Timeout(120)
class EdgeNodeTest extends NodeFixture {
  @Test
  void forwardsRequestsAndResponsesOverOneConnection() throws Exception {
    ScriptedServer server =
        peer(m -> m.answer(ScriptedServer.ok("X-Units-Charged: 3\r\n", "done")));
    Socket client = client(node(server));
    for (String id : List.of("t-1", "t-2")) {
      order(client, id);
      ScriptedServer.Message response = ScriptedServer.read(client);
      assertEquals("200", status(response));
      assertEquals("done", response.body());
      ScriptedServer.Message sent = server.next();
      assertEquals("POST /api?slot=4 HTTP/1.1", sent.first());
      assertEquals("book", sent.body());
      assertEquals(id, sent.headers().get("x-trace-id"));
      assertEquals("key-" + id, sent.headers().get("idempotency-key"));
      assertTrue(Long.parseLong(sent.headers().get("x-expires-in-ms")) <= 20_000);
    }
    assertTrue(server.ended.isEmpty(), "the second request must reuse the connection");
  }

  /** Unlike later requests, the first one waits for its connect. */
  @Test
  void theFirstRequestOnANewConnectionIsServed() throws Exception {
    assertEquals("200", ask(client(node(peer(m -> m.answer(ScriptedServer.ok("", "x"))))), "t-1"));
  }

  @Test
  void rejectedAttemptsAreRetriedOnAnotherEndpoint() throws Exception {
    ScriptedServer full =
        peer(m -> m.answer("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
    ScriptedServer gone = peer(m -> {});
    gone.close();
    ScriptedServer good = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    Socket client = client(node(full, gone, good));
    for (int i = 0; i < 8; i++) {
      assertEquals("200", ask(client, "t-" + i));
    }
  }

  @Test
  void responseWithoutLengthIsForwardedWhenItsConnectionEndsInOrder() throws Exception {
    ScriptedServer server =
        peer(
            m -> {
              m.answer("HTTP/1.1 200 OK\r\n\r\nfirst part, ");
              m.answer("and the rest");
              m.socket().close();
            });
    Socket client = client(node(server));
    for (String id : List.of("t-1", "t-2")) {
      write(client, "POST /api", headers(id, "strict", "20000"), "book");
      ScriptedServer.Message response = ScriptedServer.read(client);
      assertEquals("200", status(response));
      assertEquals("first part, and the rest", response.body());
    }
  }

  /** It fails instead of being rejected, since a rejection invites the client to retry. */
  @Test
  void nonIdempotentRequestIsNotRetriedIfItMayHaveBeenExecuted() throws Exception {
    for (String scripted :
        List.of(
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            "",
            "HTTP/1.1 200 OK\r\n\r\nno end told")) {
      ScriptedServer server =
          peer(
              m -> {
                m.answer(scripted);
                if (!scripted.startsWith("HTTP/1.1 50")) {
                  // A reset: an orderly end would complete a response without length.
                  m.socket().setSoLinger(!scripted.contains("Content-Length"), 0);
                  m.socket().close();
                }
              });
      Socket client = client(node(server));
      write(client, "POST /api", headers("t-1", "strict", "20000"), "book");
      assertEquals("502", status(ScriptedServer.read(client)), scripted);
      server.next();
      assertTrue(server.seen.isEmpty(), "it must have been sent once: " + scripted);
    }
  }

  /** The response is written before the client's timeout, and the attempt ends. */
  @Test
  void silentEndpointTimesOutAndItsConnectionIsClosed() throws Exception {
    ScriptedServer server = peer(m -> {});
    Socket client = client(node(server));
    write(client, "POST /api", headers("t-1", "strict", "2500"), "book");
    assertEquals("502", status(ScriptedServer.read(client)));
    server.next();
    assertNotNull(server.ended.poll(60, TimeUnit.SECONDS), "the silent connection must be closed");
  }
}
