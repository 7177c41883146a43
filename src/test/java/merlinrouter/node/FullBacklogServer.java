package merlinrouter.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A server whose accept queue is full, so that a connect to it stays in flight. */
final class FullBacklogServer implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  private final List<Socket> queued = new ArrayList<>();

  FullBacklogServer() throws IOException {
    try {
      while (true) {
        Socket next = new Socket();
        queued.add(next);
        next.connect(listener.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLIS);
      }
    } catch (SocketTimeoutException e) {
      // The queue is full.
    }
  }

  /** Returns the address that the server listens on, as {@code host:port}. */
  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Closes the connections that fill the queue, and accepts all others from now on. The server
   * responds to the first request of each; the future completes with the first one of all.
   */
  CompletableFuture<ScriptedServer.Message> acceptAll() throws IOException {
    for (Socket socket : queued) {
      socket.close();
    }
    CompletableFuture<ScriptedServer.Message> firstRequest = new CompletableFuture<>();
    ScriptedServer.startThread(
        () -> {
          while (true) {
            Socket connection = listener.accept();
            ScriptedServer.startThread(() -> respond(connection, firstRequest));
          }
        });
    return firstRequest;
  }

  /** Responds to a connection's first request; those that filled the queue have none. */
  private static void respond(
      Socket connection, CompletableFuture<ScriptedServer.Message> firstRequest)
      throws IOException {
    ScriptedServer.Message request = ScriptedServer.readMessage(connection);
    if (request != null) {
      firstRequest.complete(request);
      request.respond(ScriptedServer.okResponse("", "late"));
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
