package merlinrouter.emulator;

import java.util.ArrayList;
import java.util.List;

/**
 * What clients and servers saw of one request. All moments are {@link System#nanoTime()} of the
 * emulator's process; 0 stands for what did not happen.
 */
final class RequestRecord {
  /** How the client's side of a request ended. */
  enum End {
    /** Nothing yet. */
    NONE,
    /** A whole answer. */
    ANSWERED,
    /** The connection ended or broke without a whole answer. */
    CLOSED_BY_NODE,
    /** Nothing came by the end of the client's patience. */
    NO_ANSWER,
    /** Nobody listened: the request was never sent. */
    NOT_CONNECTED,
    /** The client closed first. */
    CLIENT_LEFT
  }

  /** One attempt, as a server saw it. */
  static final class Attempt {
    final String server;
    final long arrivedAt;
    final long expiresInMillis;

    /** Its answer proves that it never ran. */
    final boolean provedNotRun;

    volatile long endedAt;

    Attempt(String server, long arrivedAt, long expiresInMillis, boolean provedNotRun) {
      this.provedNotRun = provedNotRun;
      this.server = server;
      this.arrivedAt = arrivedAt;
      this.expiresInMillis = expiresInMillis;
    }
  }

  final String id;
  final String node;
  final RequestClass requestClass;
  final long waitMillis;
  private final List<Attempt> attempts = new ArrayList<>();
  volatile long sentAt;
  volatile long endedAt;
  volatile End end = End.NONE;
  volatile int status;
  volatile String body = "";
  volatile boolean reusedConnection;

  /** Only a part of it was sent. */
  volatile boolean half;

  RequestRecord(String id, String node, RequestClass requestClass, long waitMillis) {
    this.id = id;
    this.node = node;
    this.requestClass = requestClass;
    this.waitMillis = waitMillis;
  }

  synchronized Attempt addAttempt(Attempt attempt) {
    attempts.add(attempt);
    return attempt;
  }

  synchronized List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  void end(End how) {
    endedAt = System.nanoTime();
    end = how;
  }

  @Override
  public String toString() {
    StringBuilder text =
        new StringBuilder(
            id
                + " "
                + node
                + " "
                + requestClass
                + " waits "
                + waitMillis
                + " ms: "
                + end
                + (status > 0 ? " " + status : "")
                + " after "
                + (endedAt - sentAt) / 1_000_000
                + " ms"
                + (reusedConnection ? " on a reused connection" : ""));
    for (Attempt attempt : attempts()) {
      text.append("; ")
          .append(attempt.server)
          .append(" at +")
          .append((attempt.arrivedAt - sentAt) / 1_000_000)
          .append(" ms told ")
          .append(attempt.expiresInMillis);
    }
    return text.toString();
  }
}
