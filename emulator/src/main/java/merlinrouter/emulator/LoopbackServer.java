package merlinrouter.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP server on a loopback port of its own, with one thread for each connection. */
abstract class LoopbackServer implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  private final ServerSocket listening = new ServerSocket();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /** Binds to a free port and begins to accept. */
  LoopbackServer() throws IOException {
    listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
  }

  /** Begins to accept; called once, when the subclass is complete. */
  final void start() {
    Threads.daemon(getClass().getSimpleName(), this::acceptAll);
  }

  /** Serves one connection until it ends. */
  abstract void serve(Socket socket) throws IOException, InterruptedException;

  /** The address as {@code host:port}. */
  final String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** The port that it listens on. */
  final int port() {
    return listening.getLocalPort();
  }

  /** How many connections are open. */
  final int connections() {
    return open.size();
  }

  /** Resets all open connections. */
  final void resetAll() {
    open.forEach(LoopbackServer::reset);
  }

  /** Resets all open connections and waits until the last reset has been sent. */
  final void resetAllAndWait() throws InterruptedException {
    resetAll();
    while (!open.isEmpty()) {
      // A thread that still reads holds its socket open until it has been woken.
      Thread.sleep(1);
    }
  }

  /** Ends a connection with a reset instead of an orderly end. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It has ended already.
    }
  }

  private void acceptAll() throws IOException {
    while (!listening.isClosed()) {
      Socket socket = listening.accept();
      socket.setTcpNoDelay(true);
      open.add(socket);
      Threads.daemon(
          getClass().getSimpleName() + " connection",
          () -> {
            try (socket) {
              serve(socket);
            } finally {
              open.remove(socket);
            }
          });
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
    resetAll();
  }
}
