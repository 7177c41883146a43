package merlinrouter.emulator;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A match server's stand-in: answers each request as its behavior says and reports every attempt.
 */
final class MatchServer extends LoopbackServer {
  /** How one attempt is treated. */
  enum Behavior {
    /** 200 with a length. */
    ANSWER,
    /** 200 without a length, ended by an orderly close. */
    ANSWER_WITHOUT_LENGTH,
    /** 200 without a length, broken off by a reset. */
    RESET_WITHOUT_LENGTH,
    /** A part of an answer with a length, then an orderly close. */
    CUT_SHORT,
    /** A reset before any answer. */
    RESET,
    /** No answer; the connection stays open. */
    HANG,
    /** 500. */
    ERROR,
    /** 503 that proves that the request never ran. */
    TURN_AWAY,
    /** 200, and a reset of the connection while it is idle. */
    ANSWER_THEN_RESET
  }

  /** Chooses how an attempt is treated and how long it takes. */
  interface Script {
    /** The treatment of a request with this id. */
    Treatment next(String id);
  }

  /** A behavior and the time before it, in milliseconds. */
  record Treatment(Behavior behavior, long delayMillis) {}

  /** Hears of attempts. */
  interface Observer {
    /** A whole request arrived, to be treated so; the returned handle is told of its end. */
    Runnable arrived(MatchServer server, HttpMessage request, Treatment treatment);
  }

  /**
   * Splits a body without a length over several writes, so that its end is told by the close alone.
   */
  private static final int BODY_PIECES = 3;

  private final String id;
  private final Observer observer;
  private volatile Script script;

  MatchServer(String id, Script script, Observer observer) throws IOException {
    this.id = id;
    this.script = script;
    this.observer = observer;
    start();
  }

  String id() {
    return id;
  }

  void setScript(Script script) {
    this.script = script;
  }

  /** The body that this request's answer has and no other's. */
  static String bodyFor(String requestId) {
    return "answer to " + requestId + "\n";
  }

  @Override
  void serve(Socket socket) throws IOException, InterruptedException {
    boolean open = true;
    while (open) {
      HttpMessage request = HttpMessage.read(socket.getInputStream());
      if (request == null) {
        return;
      }
      String requestId = request.headers().getOrDefault("x-trace-id", "");
      Treatment treatment = script.next(requestId);
      Runnable ended = observer.arrived(this, request, treatment);
      try {
        Thread.sleep(treatment.delayMillis());
        open = treat(socket, treatment.behavior(), requestId);
      } finally {
        ended.run();
      }
    }
  }

  /** Carries the behavior out; returns whether the connection goes on. */
  private static boolean treat(Socket socket, Behavior behavior, String requestId)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    String body = bodyFor(requestId);
    switch (behavior) {
      case ANSWER -> write(out, withLength("200 OK", "", body));
      case ANSWER_THEN_RESET -> {
        write(out, withLength("200 OK", "", body));
        Thread.sleep(30);
        reset(socket);
        return false;
      }
      case ANSWER_WITHOUT_LENGTH, RESET_WITHOUT_LENGTH -> {
        write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        writeInPieces(out, body);
        if (behavior == Behavior.RESET_WITHOUT_LENGTH) {
          Thread.sleep(5);
          reset(socket);
        }
        return false;
      }
      case CUT_SHORT -> {
        String whole = withLength("200 OK", "", body);
        write(out, whole.substring(0, whole.length() - 2));
        return false;
      }
      case RESET -> {
        reset(socket);
        return false;
      }
      case HANG -> {
        // Until the node gives up: its close or a byte that nobody awaits.
        socket.getInputStream().read();
        return false;
      }
      case ERROR -> write(out, withLength("500 Error", "", ""));
      case TURN_AWAY -> write(out, withLength("503 Full", "X-Never-Ran: 1\r\n", ""));
      default -> throw new IllegalStateException("no treatment for " + behavior);
    }
    return true;
  }

  private static String withLength(String status, String headers, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void writeInPieces(OutputStream out, String body)
      throws IOException, InterruptedException {
    int length = Math.max(1, body.length() / BODY_PIECES);
    for (int from = 0; from < body.length(); from += length) {
      write(out, body.substring(from, Math.min(body.length(), from + length)));
      Thread.sleep(2);
    }
  }
}
