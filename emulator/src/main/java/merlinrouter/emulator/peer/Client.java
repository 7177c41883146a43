package merlinrouter.emulator.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;

/**
 * A client of a node, which sends one request at a time and keeps its connection open between
 * requests. It records the sending and the outcome of each request in the {@link RequestRecord}.
 * Not thread-safe: only one thread may use it at a time.
 */
public final class Client implements AutoCloseable {
  /**
   * How long the client waits for a response beyond the request's timeout. The invariant checks
   * decide whether a response was too late.
   */
  private static final int EXTRA_WAIT_MILLIS = 3_500;

  private static final int CONNECT_TIMEOUT_MILLIS = 3_500;
  private static final String QUOTA_PLAN = "team";
  private static final int CUSTOMERS = 64;

  private final int port;
  private Socket socket;

  /** Creates a client of the node on a loopback port; it connects when it sends a request. */
  public Client(int port) {
    this.port = port;
  }

  /** Sends a request and waits until it ends. */
  public void exchange(RequestRecord request) throws InterruptedException {
    send(request);
    receive(request);
  }

  /** Sends a request and disconnects after a delay without reading the response. */
  public void sendAndDisconnect(RequestRecord request, long delayMillis)
      throws InterruptedException {
    send(request);
    Thread.sleep(delayMillis);
    if (!request.hasEnded()) {
      close();
      request.end(ClientOutcome.CLIENT_DISCONNECTED);
    }
  }

  /** Sends the first half of a request, waits for the node to respond or close, and disconnects. */
  public void sendHalf(RequestRecord request) throws InterruptedException {
    request.markIncomplete();
    byte[] bytes = encode(request);
    write(request, bytes, bytes.length / 2, 0);
    receive(request);
    close();
  }

  /** Sends a request. */
  public void send(RequestRecord request) throws InterruptedException {
    sendInTwoParts(request, 0);
  }

  /** Sends a request in two parts with a pause between them, or in one part if the pause is 0. */
  public void sendInTwoParts(RequestRecord request, long pauseMillis) throws InterruptedException {
    byte[] bytes = encode(request);
    write(request, bytes, bytes.length, pauseMillis);
  }

  /** Waits until a request that was sent ends. */
  public void receive(RequestRecord request) {
    if (request.hasEnded()) {
      return;
    }
    long cpuWaitBeforeNanos = CpuWait.ofCurrentThreadNanos();
    receiveResponse(request);
    request.setClientCpuWaitNanos(CpuWait.ofCurrentThreadNanos() - cpuWaitBeforeNanos);
  }

  private void receiveResponse(RequestRecord request) {
    try {
      socket.setSoTimeout((int) request.timeoutMillis() + EXTRA_WAIT_MILLIS);
      HttpMessage response = HttpMessage.read(socket.getInputStream());
      if (response == null) {
        request.endWithOrderlyClose();
        close();
        return;
      }
      request.endWithResponse(response.status(), response.body());
      if ("close".equalsIgnoreCase(response.header("Connection", ""))) {
        close();
      }
    } catch (SocketTimeoutException e) {
      request.end(ClientOutcome.NO_RESPONSE);
      close();
    } catch (IOException e) {
      endByClosedConnection(request);
    }
  }

  /** Returns whether the client keeps a connection, which the node may have closed. */
  public boolean isConnected() {
    return socket != null;
  }

  private void write(RequestRecord request, byte[] bytes, int length, long pauseMillis)
      throws InterruptedException {
    request.markStarted();
    try {
      request.setConnectionReused(isConnected());
      if (!isConnected() && !connect()) {
        request.markSent();
        request.end(ClientOutcome.NOT_CONNECTED);
        return;
      }
      int firstLength = pauseMillis > 0 ? length / 2 : length;
      socket.getOutputStream().write(bytes, 0, firstLength);
      if (firstLength < length) {
        Thread.sleep(pauseMillis);
        socket.getOutputStream().write(bytes, firstLength, length - firstLength);
      }
      request.markSent();
    } catch (IOException e) {
      request.markSent();
      endByClosedConnection(request);
    }
  }

  private boolean connect() {
    Socket connecting = new Socket();
    try {
      connecting.setTcpNoDelay(true);
      connecting.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
      socket = connecting;
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void endByClosedConnection(RequestRecord request) {
    request.end(ClientOutcome.CONNECTION_CLOSED);
    close();
  }

  private static byte[] encode(RequestRecord request) {
    RequestClass requestClass = request.requestClass();
    StringBuilder head = new StringBuilder();
    head.append(requestClass.method()).append(" /api?slot=1 HTTP/1.1\r\n");
    appendHeader(head, "Host", "app.svc");
    appendHeader(head, ServiceProtocol.REQUEST_ID, request.id());
    appendHeader(head, ServiceProtocol.REQUEST_CLASS, requestClass.configuredName());
    appendHeader(head, ServiceProtocol.QUOTA_PLAN, QUOTA_PLAN);
    appendHeader(head, "Cookie", ServiceProtocol.CUSTOMER_COOKIE + "=" + customerOf(request));
    appendHeader(head, ServiceProtocol.TIMEOUT_MILLIS, Long.toString(request.timeoutMillis()));
    appendHeader(head, ServiceProtocol.QUOTA, "units=1,spread=2,first=0");
    if (requestClass == RequestClass.IDEMPOTENCY_KEY) {
      appendHeader(head, ServiceProtocol.IDEMPOTENCY_KEY, "key-" + request.id());
    }
    String body = "";
    if (requestClass.hasBody()) {
      body = "body of " + request.id();
      appendHeader(head, "Content-Length", Integer.toString(body.length()));
    }
    return (head + "\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void appendHeader(StringBuilder head, String name, String value) {
    head.append(name).append(": ").append(value).append("\r\n");
  }

  private static String customerOf(RequestRecord request) {
    long hash = Integer.toUnsignedLong(request.id().hashCode());
    return String.format("%016x", hash % CUSTOMERS);
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException ignored) {
        // The socket is already closed.
      }
      socket = null;
    }
  }
}
