package merlinrouter.emulator.peer;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import merlinrouter.emulator.request.Attempt;
import merlinrouter.emulator.request.RequestRecord;
import merlinrouter.emulator.request.RequestRegistry;

/** Emulates an upstream server: reacts to each request as scripted and records every attempt. */
public final class UpstreamServer extends LoopbackServer {
  /** What the server does with a request. */
  public enum Behavior {
    /** Responds with 200 and a content length. */
    RESPOND,
    /** Responds with 200 and no content length; the body ends with an orderly close. */
    RESPOND_WITHOUT_LENGTH,
    /** Responds with 200 and no content length; a reset follows the body. */
    RESET_AFTER_BODY_WITHOUT_LENGTH,
    /** Sends a part of a response with a content length, then closes without a reset. */
    TRUNCATE_RESPONSE,
    /** Resets the connection before any response. */
    RESET,
    /** Sends nothing and keeps the connection open. */
    HANG,
    /** Responds with 500. */
    ERROR,
    /** Responds with 503, which proves that the request was not executed. */
    REJECT
  }

  /** Chooses the reaction to each request. */
  public interface Script {
    /** Returns the reaction to the request with this id. */
    Reaction reactionTo(String requestId);
  }

  /**
   * What the server does with a request, and when.
   *
   * @param behavior what it does
   * @param delayMillis how long it waits first
   */
  public record Reaction(Behavior behavior, long delayMillis) {}

  private static final String STATUS_ERROR = "500 Error";
  private static final String STATUS_REJECTED = "503 Full";

  /** A body without a length is written in fragments, so that only the close marks its end. */
  private static final int BODY_FRAGMENTS = 3;

  private static final long FRAGMENT_PAUSE_MILLIS = 2;

  /** Lets the node receive the body before the reset, which would discard it. */
  private static final long PAUSE_BEFORE_RESET_MILLIS = 5;

  private static final int TRUNCATED_BYTES = 2;

  private final String id;
  private final Script script;
  private final RequestRegistry requests;

  /**
   * Starts a server.
   *
   * @param id the server's id in the endpoint list
   * @param script chooses the reaction to each request
   * @param requests where attempts are recorded
   */
  public UpstreamServer(String id, Script script, RequestRegistry requests) throws IOException {
    this.id = id;
    this.script = script;
    this.requests = requests;
    start();
  }

  /** Returns the server's id in the endpoint list. */
  public String id() {
    return id;
  }

  @Override
  void serve(Socket socket) throws IOException, InterruptedException {
    boolean open = true;
    while (open) {
      HttpMessage request = HttpMessage.read(socket.getInputStream());
      if (request == null) {
        return;
      }
      String requestId = request.header(ServiceProtocol.REQUEST_ID, "");
      Reaction reaction = script.reactionTo(requestId);
      recordAttempt(request, requestId, reaction.behavior());
      Thread.sleep(reaction.delayMillis());
      open = react(socket, reaction.behavior(), RequestRecord.expectedBody(requestId));
    }
  }

  private void recordAttempt(HttpMessage request, String requestId, Behavior behavior) {
    long receivedAtNanos = System.nanoTime();
    long timeoutMillis = Long.parseLong(request.header(ServiceProtocol.TIMEOUT_MILLIS, "0"));
    boolean provesNotExecuted = behavior == Behavior.REJECT;
    requests.addAttempt(
        requestId, new Attempt(id, receivedAtNanos, timeoutMillis, provesNotExecuted));
  }

  /** Carries out the behavior and returns whether the connection can carry another request. */
  private static boolean react(Socket socket, Behavior behavior, String body)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    switch (behavior) {
      case RESPOND -> HttpMessage.write(out, HttpMessage.response(HttpMessage.STATUS_OK, "", body));
      case ERROR -> HttpMessage.write(out, HttpMessage.response(STATUS_ERROR, "", ""));
      case REJECT -> {
        String notExecuted = ServiceProtocol.NOT_EXECUTED + ": 1\r\n";
        HttpMessage.write(out, HttpMessage.response(STATUS_REJECTED, notExecuted, ""));
      }
      case RESPOND_WITHOUT_LENGTH -> {
        writeWithoutLength(out, body);
        return false;
      }
      case RESET_AFTER_BODY_WITHOUT_LENGTH -> {
        writeWithoutLength(out, body);
        Thread.sleep(PAUSE_BEFORE_RESET_MILLIS);
        reset(socket);
        return false;
      }
      case TRUNCATE_RESPONSE -> {
        String complete = HttpMessage.response(HttpMessage.STATUS_OK, "", body);
        HttpMessage.write(out, complete.substring(0, complete.length() - TRUNCATED_BYTES));
        return false;
      }
      case RESET -> {
        reset(socket);
        return false;
      }
      case HANG -> {
        // Blocks until the node closes the connection or sends something unexpected.
        socket.getInputStream().read();
        return false;
      }
      default -> throw new IllegalStateException("unknown behavior " + behavior);
    }
    return true;
  }

  private static void writeWithoutLength(OutputStream out, String body)
      throws IOException, InterruptedException {
    HttpMessage.write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    int fragmentLength = Math.max(1, body.length() / BODY_FRAGMENTS);
    for (int from = 0; from < body.length(); from += fragmentLength) {
      HttpMessage.write(out, body.substring(from, Math.min(body.length(), from + fragmentLength)));
      Thread.sleep(FRAGMENT_PAUSE_MILLIS);
    }
  }
}
