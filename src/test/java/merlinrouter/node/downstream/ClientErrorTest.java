package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.config.NodeConfigReader;
import merlinrouter.node.http.DecodingScheduler;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.InvariantGuard;
import merlinrouter.node.request.OpenRequest;
import merlinrouter.node.transport.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A request that has been read gets a response if this node throws an exception before it opens.
 */
@Timeout(60)
class ClientErrorTest {
  private static final String REQUEST =
      "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: t-1\r\nX-Qos: lookup\r\nX-Plan: bulk\r\n"
          + "Cookie: customer=0000000000000007\r\nX-Expires-In-Ms: 20000\r\n"
          + "X-Quota: units=1,spread=1,first=0\r\n\r\n";

  private static final int CLIENT_TIMEOUT_MILLIS = 20_000;

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  private final EventLoopGroup group = EventLoops.newSingleLoopGroup(NioIoHandler.newFactory());

  /** Fails where a test overrides nothing. */
  private static class FailingHandler implements RequestHandler {
    private final NodeLog log = new NodeLog();
    private final InvariantGuard guard = new InvariantGuard(log);

    @Override
    public boolean accept(OpenRequest request) {
      throw new IllegalStateException("thrown by the test");
    }

    @Override
    public void clientDisconnected(OpenRequest request) {
      throw new IllegalStateException("thrown by the test");
    }

    @Override
    public boolean isReady() {
      throw new IllegalStateException("thrown by the test");
    }

    @Override
    public long previousPollNanos() {
      return System.nanoTime();
    }

    @Override
    public long toGatewayTime(long nanoTime) {
      return nanoTime;
    }

    @Override
    public long deadlineNanos(long arrivedAtNanos, long timeoutNanos) {
      return arrivedAtNanos + timeoutNanos;
    }

    @Override
    public InvariantGuard guard() {
      return guard;
    }

    @Override
    public NodeLog log() {
      return log;
    }
  }

  @AfterEach
  void closeLoop() {
    group.shutdownGracefully().syncUninterruptibly();
  }

  private String statusOf(RequestHandler handler, String request) throws Exception {
    NodeConfig config =
        NodeConfigReader.parse(
            Files.readString(Path.of("src/test/resources/node.json"))
                .replace("DISCOVERY", "127.0.0.1:1")
                .replace("COUNTER", "127.0.0.1:1")
                .replace("MEMBERS", ""));
    DecodingScheduler decoding =
        new DecodingScheduler(System::nanoTime, task -> group.next().execute(task));
    ClientListener listener =
        new ClientListener(
            handler, group.next(), config, new MemoryBudget(config.memoryLimitBytes()), decoding);
    listener.bind().get();
    InetSocketAddress address = (InetSocketAddress) listener.address();
    try (Socket client = new Socket(address.getAddress(), address.getPort())) {
      client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
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
