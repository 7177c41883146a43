package merlinrouter.emulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** A TCP proxy in front of one server, which stands for the network between it and the nodes. */
final class FaultProxy extends LoopbackServer {
  /** How the network behaves. */
  enum Link {
    /** Bytes pass as they come. */
    CLEAR,
    /**
     * Nothing passes and nobody is told; what met the silence is lost, and reset once it is over.
     */
    SILENT,
    /** Bytes pass a few at a time. */
    IN_PIECES,
    /** Bytes pass late. */
    SLOW
  }

  private static final int BUFFER_BYTES = 8_192;
  private static final int PIECE_BYTES = 17;
  private static final long SLOW_MILLIS = 40;
  private static final long SILENCE_POLL_MILLIS = 5;

  private final int targetPort;
  private volatile Link link = Link.CLEAR;

  FaultProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    start();
  }

  /** Changes the network's behavior, for open connections too. */
  void setLink(Link link) {
    this.link = link;
  }

  @Override
  void serve(Socket client) throws IOException, InterruptedException {
    if (metSilence()) {
      reset(client);
      return;
    }
    try (Socket server = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
      server.setTcpNoDelay(true);
      Thread answers = Threads.daemon("proxy answers", () -> pass(server, client));
      pass(client, server);
      answers.join(TimeUnit.SECONDS.toMillis(1));
    }
  }

  /**
   * Passes one direction on until it ends; an orderly end is passed on as one, a reset as a reset.
   */
  private void pass(Socket from, Socket to) throws IOException, InterruptedException {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        if (metSilence()) {
          reset(from);
          reset(to);
          return;
        }
        write(out, buffer, read);
      }
      metSilence();
      to.shutdownOutput();
    } catch (IOException e) {
      metSilence();
      reset(to);
    }
  }

  private void write(OutputStream out, byte[] buffer, int length)
      throws IOException, InterruptedException {
    if (link == Link.SLOW) {
      Thread.sleep(SLOW_MILLIS);
    }
    int piece = link == Link.IN_PIECES ? PIECE_BYTES : length;
    for (int from = 0; from < length; from += piece) {
      out.write(buffer, from, Math.min(piece, length - from));
      if (piece < length) {
        // No sleep, which takes many times as long on a busy machine: each write is a segment of
        // its own.
        Thread.yield();
      }
    }
  }

  /** Waits for the end of a silence; whether there was one. */
  private boolean metSilence() throws InterruptedException {
    boolean met = false;
    while (link == Link.SILENT) {
      met = true;
      Thread.sleep(SILENCE_POLL_MILLIS);
    }
    return met;
  }
}
