package merlinrouter.emulator.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import merlinrouter.emulator.peer.BackgroundThreads;

/** Idle clients of one node, which connect and send nothing. */
final class Crowd implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long PAUSE_MILLIS = 10;

  /** New connections between two pauses. */
  private static final int CONNECTIONS_PER_STEP = 25;

  private final int port;
  private final int size;
  private final ArrayDeque<Socket> connections = new ArrayDeque<>();
  private volatile boolean closed;
  private Thread thread;

  /**
   * Creates a crowd that has not come yet.
   *
   * @param port the node's loopback port
   * @param size how many connections it holds at most, older ones ending first
   */
  Crowd(int port, int size) {
    this.port = port;
    this.size = size;
  }

  /** Begins to connect; goes on until it is closed. */
  void start() {
    thread = BackgroundThreads.start("crowd", this::run);
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
    if (connections.size() > size) {
      closeQuietly(connections.poll());
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException ignored) {
      // The node has reset it.
    }
  }

  /** Closes all connections and waits for that. */
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
