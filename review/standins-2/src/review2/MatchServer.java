package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A match server: answers each request after its work with a body made for this request alone. */
final class MatchServer {
  /** A request that arrived whole. */
  record Arrival(double millis, String server, String id, String firstLine) {}

  /** Writes the answer to a request. */
  interface Answer {
    void write(OutputStream out, Http.Message request, String body) throws IOException;
  }

  final String id;
  final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  volatile Answer answer = (out, request, body) -> writeAnswer(out, body);
  private final Kit kit;
  private final int workMillis;
  private final ServerSocket listener = Kit.listen();

  MatchServer(Kit kit, String id, int workMillis) throws IOException {
    this.kit = kit;
    this.id = id;
    this.workMillis = workMillis;
    Kit.daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the answer's body for a request with this id and first line. */
  static String bodyFor(String id, String firstLine) {
    return "{\"request\":\"" + id + "\",\"target\":\"" + firstLine.split(" ")[1] + "\"}";
  }

  static void writeAnswer(OutputStream out, String body) throws IOException {
    out.write(
        Agent.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Kit.daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // The case ends.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message request = Http.read(in);
      while (request != null) {
        String requestId = request.header("x-trace-id");
        arrivals.add(new Arrival(kit.millis(), id, requestId, request.firstLine()));
        kit.log("run: " + id + " got " + requestId + " " + Kit.visible(request.firstLine()));
        Kit.sleep(workMillis);
        answer.write(socket.getOutputStream(), request, bodyFor(requestId, request.firstLine()));
        request = Http.read(in);
      }
    } catch (IOException e) {
      // The node has closed the connection.
    }
  }

  static List<Arrival> arrivalsOf(List<MatchServer> servers, String requestId) {
    return servers.stream()
        .flatMap(server -> server.arrivals.stream())
        .filter(arrival -> arrival.id().equals(requestId))
        .toList();
  }
}
