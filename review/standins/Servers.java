import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** Scripts of sound match servers. */
final class Servers {
  private Servers() {}

  /** The answer that a match server makes for a request. */
  static String bodyFor(String requestId) {
    return "{\"answer-to\":\"" + requestId + "\"}";
  }

  static byte[] ok(String body) {
    return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Serves each request after some 60 ms of work. */
  static boolean sound(
      Bed bed, MatchServer server, Http request, java.net.Socket socket)
      throws IOException, InterruptedException {
    String id = request.header("X-Trace-Id");
    Thread.sleep(ThreadLocalRandom.current().nextInt(45, 78));
    socket.getOutputStream().write(ok(bodyFor(id)));
    bed.record(server.id + " ran and answered " + id);
    return true;
  }
}
