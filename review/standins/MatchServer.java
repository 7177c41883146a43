import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

/** A match server; what it does with a request is up to its script. */
final class MatchServer implements AutoCloseable {
  /** Answers a request on its connection; returns whether the connection is kept. */
  interface Script {
    boolean handle(MatchServer server, Http request, long arrivedNanos, Socket socket)
        throws IOException, InterruptedException;
  }

  final String id;
  private final ServerSocket listener = Bed.listen();
  private final Script script;

  MatchServer(String id, Script script) throws IOException {
    this.id = id;
    this.script = script;
    Bed.thread(
        () -> {
          while (!listener.isClosed()) {
            try {
              Socket socket = listener.accept();
              Bed.thread(() -> serve(socket));
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  String address() {
    return Bed.hostPort(listener);
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http request = Http.read(in); request != null; request = Http.read(in)) {
        if (!script.handle(this, request, System.nanoTime(), socket)) {
          return;
        }
      }
    } catch (IOException e) {
      // The edge node has closed the connection.
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
