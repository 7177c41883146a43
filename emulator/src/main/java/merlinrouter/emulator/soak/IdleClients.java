package merlinrouter.emulator.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import merlinrouter.emulator.peer.BackgroundThreads;

/** Clients of one node that connect and send nothing, and so use up its file descriptors. */
final class IdleClients implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long PAUSE_MILLIS = 10;

  /** New connections between two pauses. */
  private static final int CONNECTIONS_PER_STEP = 25;

  private final int port;
  private final int maxConnections;
  private final ArrayDeque<Socket> connections = new ArrayDeque<>();
  private volatile boolean closed;
  private Thread thread;

  /**
   * Creates clients that have not connected.
   *
   * @param port the node's loopback port
   * @param maxConnections the maximum number of open connections; one more closes the oldest
   */
  IdleClients(int port, int maxConnections) {
    this.port = port;
    this.maxConnections = maxConnections;
  }

  /** Starts to open connections, until {@link #close}. */
  void start() {
    thread = BackgroundThreads.start("idle clients", this::run);
  }

  private void run() throws InterruptedException {
    while (!closed) {
      for (int i = 0; i < CONNECTIONS_PER_STEP && !closed; i++) {
        connect();
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    while (!connections.isEmpty()) {
      closeQuietly(connections.poll());
    }
  }

  private void connect() {
    Socket socket = new Socket();
    try {
      socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
      connections.add(socket);
    } catch (IOException e) {
      closeQuietly(socket);
    }
    if (connections.size() > maxConnections) {
      closeQuietly(connections.poll());
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException ignored) {
      // The node has reset the connection.
    }
  }

  /** Closes all connections and waits until they are closed. */
  @Override
  public void close() {
    closed = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
