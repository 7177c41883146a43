package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to an edge node. */
final class Client implements AutoCloseable {
  /** How long a client waits: the whole deadline of the class. */
  static final int TIMEOUT_MILLIS = 1_500;

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads the next answer; null after an orderly end (FIN); throws after a reset or timeout. */
  Http.Message read(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    return Http.read(in);
  }

  /** Sends a request of the class match-lookup, and reads and records its answer. */
  Http.Message ask(Kit kit, String id, String query) throws IOException {
    kit.log("client: sends " + id + " GET /api" + Kit.visible(query));
    try {
      write(lookup(id, query, TIMEOUT_MILLIS, kit.random.nextInt(1 << 30)));
      Http.Message answer = read(2 * TIMEOUT_MILLIS);
      kit.log("client: " + id + " " + describe(answer));
      return answer;
    } catch (IOException e) {
      kit.log("client: " + id + " got no answer: " + e);
      throw e;
    }
  }

  private static String describe(Http.Message answer) {
    if (answer == null) {
      return "got no answer: the connection ended in an orderly way";
    }
    String connection = answer.header("connection");
    return "answered "
        + answer.status()
        + (connection.isEmpty() ? "" : ", Connection: " + connection)
        + " "
        + Kit.visible(answer.text());
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** A request of the class match-lookup. */
  static String lookup(String id, String query, int timeoutMillis, long customer) {
    return "GET /api"
        + query
        + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "
        + id
        + "\r\nX-Qos: match-lookup\r\nX-Plan: fleet\r\n"
        + common(timeoutMillis, customer);
  }

  private static String common(int timeoutMillis, long customer) {
    return String.format("Cookie: customer=%016x\r\n", customer)
        + "X-Expires-In-Ms: "
        + timeoutMillis
        + "\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n";
  }
}
