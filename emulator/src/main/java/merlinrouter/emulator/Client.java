package merlinrouter.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One client of a node: one request at a time, on a connection that it keeps. */
final class Client implements AutoCloseable {
  /**
   * How long after a request's time its answer is still waited for; the judge decides what was too
   * late.
   */
  private static final int EXTRA_WAIT_MILLIS = 3_500;

  private final int port;
  private Socket socket;

  Client(int port) {
    this.port = port;
  }

  /** Sends a request and waits for its end, which is noted in the record. */
  void exchange(RequestRecord request) throws InterruptedException {
    send(request, 0);
    receive(request);
  }

  /** Sends a request and leaves after {@code stayMillis} without reading an answer. */
  void sendAndLeave(RequestRecord request, long stayMillis) throws InterruptedException {
    send(request, 0);
    Thread.sleep(stayMillis);
    if (request.end == RequestRecord.End.NONE) {
      close();
      request.end(RequestRecord.End.CLIENT_LEFT);
    }
  }

  /** Sends the first half of a request and waits for what the node does about it. */
  void sendHalfAndStay(RequestRecord request) throws InterruptedException {
    request.half = true;
    byte[] bytes = text(request).getBytes(StandardCharsets.ISO_8859_1);
    write(request, bytes, bytes.length / 2, 0);
    receive(request);
    close();
  }

  /** Writes the request; with {@code pauseMillis} above 0 in two pieces. */
  void send(RequestRecord request, long pauseMillis) throws InterruptedException {
    byte[] bytes = text(request).getBytes(StandardCharsets.ISO_8859_1);
    write(request, bytes, bytes.length, pauseMillis);
  }

  private void write(RequestRecord request, byte[] bytes, int length, long pauseMillis)
      throws InterruptedException {
    try {
      request.reusedConnection = socket != null;
      if (socket == null && !connect()) {
        request.sentAt = System.nanoTime();
        request.end(RequestRecord.End.NOT_CONNECTED);
        return;
      }
      int first = pauseMillis > 0 ? length / 2 : length;
      socket.getOutputStream().write(bytes, 0, first);
      if (first < length) {
        Thread.sleep(pauseMillis);
        socket.getOutputStream().write(bytes, first, length - first);
      }
      request.sentAt = System.nanoTime();
    } catch (IOException e) {
      request.sentAt = System.nanoTime();
      fail(request);
    }
  }

  /** Whether it holds a connection. */
  boolean isConnected() {
    return socket != null;
  }

  private boolean connect() {
    Socket made = new Socket();
    try {
      made.setTcpNoDelay(true);
      made.connect(new InetSocketAddress("127.0.0.1", port), EXTRA_WAIT_MILLIS);
      socket = made;
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits for the end of a request that was sent. */
  void receive(RequestRecord request) {
    if (request.end != RequestRecord.End.NONE) {
      return;
    }
    try {
      socket.setSoTimeout((int) request.waitMillis + EXTRA_WAIT_MILLIS);
      HttpMessage answer = HttpMessage.read(socket.getInputStream());
      if (answer == null) {
        fail(request);
        return;
      }
      request.status = answer.status();
      request.body = answer.body();
      request.end(RequestRecord.End.ANSWERED);
      if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
        close();
      }
    } catch (SocketTimeoutException e) {
      request.end(RequestRecord.End.NO_ANSWER);
      close();
    } catch (IOException e) {
      fail(request);
    }
  }

  private void fail(RequestRecord request) {
    request.end(RequestRecord.End.CLOSED_BY_NODE);
    close();
  }

  private static String text(RequestRecord request) {
    boolean keyed = request.requestClass == RequestClass.ORDER;
    boolean hasBody = request.requestClass != RequestClass.LOOKUP;
    String body = hasBody ? "body of " + request.id : "";
    return request.requestClass.method()
        + " /api?slot=1 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "
        + request.id
        + "\r\nX-Qos: "
        + request.requestClass.wireName()
        + "\r\nX-Plan: team\r\n"
        + "Cookie: customer="
        + String.format("%016x", Integer.toUnsignedLong(request.id.hashCode()) % 64)
        + "\r\nX-Expires-In-Ms: "
        + request.waitMillis
        + "\r\nX-Quota: units=1,spread=2,first=0\r\n"
        + (keyed ? "Idempotency-Key: key-" + request.id + "\r\n" : "")
        + (hasBody ? "Content-Length: " + body.length() + "\r\n" : "")
        + "\r\n"
        + body;
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // It has ended already.
      }
      socket = null;
    }
  }
}
