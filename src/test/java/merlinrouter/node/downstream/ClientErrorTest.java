package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A request that has been read gets a response if this node throws an exception before it opens.
 */
@Timeout(60)
class ClientErrorTest extends ClientListenerFixture {
  private static final String REQUEST = request("t-1", "");

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  private String statusOf(RequestHandler handler, String request) throws Exception {
    try (Socket client = connect(startListener(handler))) {
      client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      BufferedReader response =
          new BufferedReader(
              new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
      String statusLine = response.readLine();
      assertNotNull(statusLine, "the connection ended without a response");
      return statusLine.split(" ")[1];
    }
  }

  @Test
  void requestThatCannotBeAccepted() throws Exception {
    assertEquals("500", statusOf(new FailingHandler(), REQUEST));
  }

  @Test
  void requestThatCannotBeParsed() throws Exception {
    RequestHandler handler =
        new FailingHandler() {
          @Override
          public long deadlineNanos(long arrivedAtNanos, long timeoutNanos) {
            throw new IllegalStateException("thrown by the test");
          }
        };
    assertEquals("500", statusOf(handler, REQUEST));
  }

  @Test
  void healthCheck() throws Exception {
    assertEquals("500", statusOf(new FailingHandler(), HEALTH_CHECK));
  }
}
