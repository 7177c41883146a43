package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import merlinrouter.node.request.OpenRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that read their responses slowly. */
@Timeout(60)
class SlowReaderTest extends ClientListenerFixture {
  private static final int RESPONSE_BYTES = 60_000;

  /** Responds at once, with more than the buffers of a connection hold. */
  private static final class LargeResponses extends FailingHandler {
    private int accepted;

    @Override
    public boolean accept(OpenRequest request) {
      accepted++;
      request.takeResponseSink().served(Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
      return true;
    }
  }

  /** The drain cut off the response that was being written. */
  @Test
  void aDrainLetsAResponseBeReadToItsEnd() throws Exception {
    LargeResponses handler = new LargeResponses();
    ClientListener listener = startListener(handler);
    try (Socket client = connect(listener)) {
      int requests = sendRequestsUntilBuffersAreFull(client, listener, handler);
      CompletableFuture<Void> drained = new CompletableFuture<>();
      group
          .next()
          .submit(
              () -> {
                listener.startDraining();
                listener.stopAccepting(drained);
              })
          .get();
      DataInputStream responses = new DataInputStream(client.getInputStream());
      for (int i = 0; i < requests; i++) {
        readResponse(responses);
      }
      drained.get();
    }
  }

  /** Sends requests one after another until a response is not written as a whole. */
  private int sendRequestsUntilBuffersAreFull(
      Socket client, ClientListener listener, LargeResponses handler) throws Exception {
    int sent = 0;
    do {
      String request = request("t-" + sent, "");
      client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      sent++;
      while (group.next().submit(() -> handler.accepted).get() < sent) {
        Thread.onSpinWait();
      }
    } while (group.next().submit(listener::idleConnectionCount).get() > 0);
    return sent;
  }

  private static void readResponse(DataInputStream responses) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) responses.readUnsignedByte());
    }
    assertTrue(head.toString().startsWith("HTTP/1.1 200 "), head.toString());
    responses.readFully(new byte[RESPONSE_BYTES]);
  }
}
