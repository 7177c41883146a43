package merlinrouter.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP/1.1 server on loopback with scripted responses, used by tests as an endpoint, discovery
 * or the counter. Each connection has its own thread, which runs the script.
 */
public final class ScriptedServer implements AutoCloseable {
  /** The head of a response whose body follows in {@linkplain #chunk chunks}. */
  static final String CHUNKED_RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final int MAX_ACCEPT_QUEUE = 50;

  private static final long REQUEST_TIMEOUT_SECONDS = 30;

  /** The received requests, in the order in which their last bytes were read. */
  final BlockingQueue<Message> received = new LinkedBlockingQueue<>();

  /** The connections that the peer has closed. */
  final BlockingQueue<Socket> endedConnections = new LinkedBlockingQueue<>();

  private final ServerSocket listener =
      new ServerSocket(0, MAX_ACCEPT_QUEUE, InetAddress.getLoopbackAddress());

  ScriptedServer(Script script) throws IOException {
    startThread(
        () -> {
          while (true) {
            Socket connection = listener.accept();
            startThread(() -> serve(connection, script));
          }
        });
  }

  /**
   * A request or a response; the header names are in lower case. Each byte of the start line and
   * the headers is one character.
   */
  public record Message(
      String startLine, Map<String, String> headers, String body, Socket connection) {
    String requestId() {
      return headers.get("x-trace-id");
    }

    /** Writes text to the connection on which the message was received. */
    void respond(String text) throws IOException {
      connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      connection.getOutputStream().flush();
    }
  }

  /** Handles the requests to a server: it may respond, close the connection, or do neither. */
  public interface Script {
    /** Handles a request on its connection's thread; an exception ends the thread. */
    void handle(Message request) throws IOException, InterruptedException;
  }

  /** The work of a server's or a client's thread, which may end with an exception. */
  interface Task {
    void run() throws IOException, InterruptedException;
  }

  /** Starts a daemon thread, which ends silently when its connection fails. */
  static void startThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The connection was closed or the test has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket connection, Script script) throws IOException, InterruptedException {
    Message request = readMessage(connection);
    while (request != null) {
      received.add(request);
      script.handle(request);
      request = readMessage(connection);
    }
    endedConnections.add(connection);
  }

  /** Returns the address that the server listens on, as {@code host:port}. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Removes and returns the next received request; fails if there is none within 30 s. */
  public Message awaitRequest() throws InterruptedException {
    Message request = received.poll(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (request == null) {
      throw new AssertionError("no request was received within " + REQUEST_TIMEOUT_SECONDS + " s");
    }
    return request;
  }

  /** Returns a response with status 200; each of the header lines must end with CRLF. */
  public static String okResponse(String headerLines, String body) {
    return "HTTP/1.1 200 OK\r\n"
        + headerLines
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Returns a chunk of a body in chunked transfer encoding; the text must be ASCII. */
  public static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /**
   * Reads a request or a response that has a content length or no body; returns null at the end of
   * the connection.
   */
  public static Message readMessage(Socket connection) throws IOException {
    InputStream input = connection.getInputStream();
    String startLine = readLine(input);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    String header = readLine(input);
    while (header != null && !header.isEmpty()) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
      header = readLine(input);
    }
    int bodyBytes = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(input.readNBytes(bodyBytes), StandardCharsets.UTF_8);
    return new Message(startLine, headers, body, connection);
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = input.read();
    while (next != '\n') {
      if (next < 0) {
        return null;
      }
      line.write(next);
      next = input.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1).trim();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
