package merlinrouter.emulator.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP server on a loopback port of its own, with one thread for each connection. */
public abstract class LoopbackServer implements AutoCloseable {
  private static final int BACKLOG_CONNECTIONS = 1_024;
  private static final long RESET_POLL_MILLIS = 1;
  private static final int FULL_BACKLOG_TIMEOUT_MILLIS = 50;

  private final ServerSocket serverSocket = new ServerSocket();
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

  /** Connections that fill the backlog while none is accepted. */
  private final List<Socket> backlogFillers = new ArrayList<>();

  private boolean acceptingPaused;

  /** Binds to a free port; {@link #start} starts accepting connections. */
  LoopbackServer() throws IOException {
    this(BACKLOG_CONNECTIONS);
  }

  /**
   * Binds to a free port; {@link #start} starts accepting connections.
   *
   * @param backlogConnections how many connections the kernel establishes before they are accepted
   */
  LoopbackServer(int backlogConnections) throws IOException {
    serverSocket.bind(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), backlogConnections);
  }

  /** Starts accepting connections; called once, at the end of the subclass's constructor. */
  final void start() {
    BackgroundThreads.start(getClass().getSimpleName(), this::acceptConnections);
  }

  /** Serves one connection until it ends. */
  abstract void serve(Socket socket) throws IOException, InterruptedException;

  /** Returns the address as {@code host:port}. */
  public final String address() {
    return "127.0.0.1:" + port();
  }

  /** Returns the port that the server listens on. */
  public final int port() {
    return serverSocket.getLocalPort();
  }

  /** Returns how many connections are open. */
  public final int openConnections() {
    return openSockets.size();
  }

  /**
   * Lets no further connection be established, until {@link #resumeAccepting}: the backlog is full,
   * so that the kernel drops the requests to connect.
   */
  final synchronized void pauseAccepting() throws IOException {
    acceptingPaused = true;
    try {
      while (true) {
        Socket filler = new Socket();
        backlogFillers.add(filler);
        filler.connect(serverSocket.getLocalSocketAddress(), FULL_BACKLOG_TIMEOUT_MILLIS);
      }
    } catch (SocketTimeoutException e) {
      // The backlog is full.
    }
  }

  /** Accepts connections again. */
  final synchronized void resumeAccepting() throws IOException {
    acceptingPaused = false;
    for (Socket filler : backlogFillers) {
      filler.close();
    }
    backlogFillers.clear();
    notifyAll();
  }

  private synchronized void awaitAccepting() throws InterruptedException {
    while (acceptingPaused) {
      wait();
    }
  }

  /** Resets all open connections. */
  public final void resetConnections() {
    openSockets.forEach(LoopbackServer::reset);
  }

  /** Resets all open connections and waits until the last reset has been sent. */
  public final void resetConnectionsAndWait() throws InterruptedException {
    resetConnections();
    while (!openSockets.isEmpty()) {
      // A thread that is blocked in a read keeps its socket open until it has been woken.
      Thread.sleep(RESET_POLL_MILLIS);
    }
  }

  /** Ends a connection with a reset instead of an orderly close. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException ignored) {
      // The socket is already closed.
    }
  }

  private void acceptConnections() throws IOException, InterruptedException {
    while (!serverSocket.isClosed()) {
      Socket socket = serverSocket.accept();
      awaitAccepting();
      socket.setTcpNoDelay(true);
      openSockets.add(socket);
      BackgroundThreads.start(
          getClass().getSimpleName() + " connection",
          () -> {
            try (socket) {
              serve(socket);
            } finally {
              openSockets.remove(socket);
            }
          });
    }
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    resetConnections();
  }
}
