package merlinrouter.emulator.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** A TCP proxy in front of one server, which emulates the network between it and the nodes. */
public final class FaultProxy extends LoopbackServer {
  /** How the network behaves. */
  public enum Condition {
    /** Bytes are forwarded immediately. */
    NORMAL,
    /**
     * Nothing is forwarded and neither side is notified. Connections that were opened or on which
     * bytes were sent meanwhile are reset when this condition ends.
     */
    BLACKHOLE,
    /** Bytes are forwarded in small fragments. */
    FRAGMENTED,
    /** Bytes are forwarded after a delay. */
    DELAYED
  }

  private static final int BUFFER_BYTES = 8_192;
  private static final int FRAGMENT_BYTES = 17;
  private static final long DELAY_MILLIS = 40;
  private static final long BLACKHOLE_POLL_MILLIS = 5;
  private static final long MAX_RESPONSE_END_WAIT_MILLIS = TimeUnit.SECONDS.toMillis(1);

  private final int targetPort;
  private volatile Condition condition = Condition.NORMAL;

  /** Starts a proxy in front of the server on {@code targetPort}. */
  public FaultProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    start();
  }

  /** Changes the network's behavior, for open connections too. */
  public void setCondition(Condition condition) {
    this.condition = condition;
  }

  @Override
  void serve(Socket client) throws IOException, InterruptedException {
    if (awaitBlackholeEnd()) {
      reset(client);
      return;
    }
    try (Socket server = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
      server.setTcpNoDelay(true);
      Thread responses = BackgroundThreads.start("proxy responses", () -> forward(server, client));
      forward(client, server);
      responses.join(MAX_RESPONSE_END_WAIT_MILLIS);
    }
  }

  /**
   * Forwards one direction until it ends. An orderly close is forwarded as an orderly close, a
   * reset as a reset.
   */
  private void forward(Socket source, Socket target) throws IOException, InterruptedException {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = source.getInputStream();
      OutputStream out = target.getOutputStream();
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        if (awaitBlackholeEnd()) {
          reset(source);
          reset(target);
          return;
        }
        write(out, buffer, length);
      }
      awaitBlackholeEnd();
      target.shutdownOutput();
    } catch (IOException e) {
      awaitBlackholeEnd();
      reset(target);
    }
  }

  private void write(OutputStream out, byte[] buffer, int length)
      throws IOException, InterruptedException {
    if (condition == Condition.DELAYED) {
      Thread.sleep(DELAY_MILLIS);
    }
    int fragmentBytes = condition == Condition.FRAGMENTED ? FRAGMENT_BYTES : length;
    for (int from = 0; from < length; from += fragmentBytes) {
      out.write(buffer, from, Math.min(fragmentBytes, length - from));
      if (fragmentBytes < length) {
        // Yields instead of sleeping, as a sleep may take far longer on a busy machine. Each write
        // is a segment of its own because TCP_NODELAY is set.
        Thread.yield();
      }
    }
  }

  /** Waits while the network is a black hole and returns whether it was one. */
  private boolean awaitBlackholeEnd() throws InterruptedException {
    boolean blackhole = false;
    while (condition == Condition.BLACKHOLE) {
      blackhole = true;
      Thread.sleep(BLACKHOLE_POLL_MILLIS);
    }
    return blackhole;
  }
}
