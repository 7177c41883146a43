package merlinrouter.node.downstream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
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

/** Runs a listener for clients without the rest of a node. */
abstract class ClientListenerFixture {
  private static final int CLIENT_TIMEOUT_MILLIS = 20_000;
  private static final int CLIENT_RECEIVE_BUFFER_BYTES = 4_096;

  final EventLoopGroup group = EventLoops.newSingleLoopGroup(NioIoHandler.newFactory());

  /** A handler that throws an exception where a test overrides nothing. */
  static class FailingHandler implements RequestHandler {
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

  /** Starts a listener; returns when clients can connect. */
  ClientListener startListener(RequestHandler handler) throws Exception {
    NodeConfig config =
        NodeConfigReader.parse(
            Files.readString(Path.of("src/test/resources/node.json"))
                .replace("DISCOVERY", "127.0.0.1:1")
                .replace("COUNTER", "127.0.0.1:1")
                .replace("MEMBERS", ""));
    DecodingScheduler decoding =
        new DecodingScheduler(System::nanoTime, task -> group.next().execute(task));
    MemoryBudget budget = new MemoryBudget(config.memoryLimitBytes());
    ClientListener listener = new ClientListener(handler, group.next(), config, budget, decoding);
    listener.bind().get();
    return listener;
  }

  /** Connects a client, which the caller must close. */
  static Socket connect(ClientListener listener) throws Exception {
    Socket client = new Socket();
    client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
    client.setReceiveBufferSize(CLIENT_RECEIVE_BUFFER_BYTES);
    client.connect((InetSocketAddress) listener.address(), CLIENT_TIMEOUT_MILLIS);
    return client;
  }

  /** Returns a valid request. */
  static String request(String requestId, String extraHeaders) {
    return "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "
        + requestId
        + "\r\nX-Qos: lookup\r\nX-Plan: bulk\r\n"
        + "Cookie: customer=0000000000000007\r\nX-Expires-In-Ms: 20000\r\n"
        + "X-Quota: units=1,spread=1,first=0\r\n"
        + extraHeaders
        + "\r\n";
  }
}
