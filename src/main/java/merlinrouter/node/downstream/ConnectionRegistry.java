package merlinrouter.node.downstream;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** The open client connections: limits their number and completes a drain when none is left. */
final class ConnectionRegistry {
  /** Half of the sockets are for clients, three eighths for endpoints, the rest for the process. */
  private static final int SOCKETS_PER_CONNECTION = 2;

  private static final int MIN_CONNECTIONS = 8;

  /** A sixth of the sockets, which is a third of the clients' connections, may be idle. */
  private static final int SOCKETS_PER_IDLE_CONNECTION = 6;

  private static final int MIN_IDLE_CONNECTIONS = 4;

  private final Set<TrackedConnection> connections = new LinkedHashSet<>();
  private final int maxConnections;
  private final int maxIdleConnections;
  private boolean draining;
  private CompletableFuture<Void> drained;

  /**
   * Creates an empty registry.
   *
   * @param maxSockets how many sockets the process may have open
   */
  ConnectionRegistry(int maxSockets) {
    maxConnections = Math.max(MIN_CONNECTIONS, maxSockets / SOCKETS_PER_CONNECTION);
    maxIdleConnections = Math.max(MIN_IDLE_CONNECTIONS, maxSockets / SOCKETS_PER_IDLE_CONNECTION);
  }

  /**
   * Adds a connection. At the limit, another one without an open request is closed in exchange.
   *
   * @return false if the limit is reached and none could be closed: accepting should pause
   */
  boolean add(TrackedConnection connection) {
    connections.add(connection);
    return connections.size() < maxConnections || evictFor(connection);
  }

  /** Removes a connection that is closed. */
  void remove(TrackedConnection connection) {
    connections.remove(connection);
  }

  /** Closes a connection without an open request, so that its client does not lose a request. */
  private boolean evictFor(TrackedConnection newest) {
    TrackedConnection candidate = evictionCandidate(newest);
    if (candidate == null) {
      return false;
    }
    // If a request has arrived on it, it is not closed and is no longer a candidate.
    return candidate.initiateClose("evicted for a new connection") || evictFor(newest);
  }

  /**
   * Returns the oldest connection that has never received anything, else the one that has been idle
   * longest, else the oldest that has received a part of its first request; null if there is none.
   * Without eviction, silent clients could occupy all connections.
   */
  private TrackedConnection evictionCandidate(TrackedConnection newest) {
    TrackedConnection idleLongest = null;
    TrackedConnection incomplete = null;
    for (TrackedConnection connection : connections) {
      if (connection == newest || connection.isClosing() || connection.hasOpenRequest()) {
        continue;
      }
      boolean firstRequest = !connection.hasReceivedRequest();
      if (connection.isBetweenRequests()) {
        if (firstRequest) {
          return connection;
        }
        idleLongest = isIdleLonger(connection, idleLongest) ? connection : idleLongest;
      } else if (firstRequest && incomplete == null) {
        incomplete = connection;
      }
    }
    return idleLongest != null ? idleLongest : incomplete;
  }

  private static boolean isIdleLonger(TrackedConnection connection, TrackedConnection other) {
    return other == null || connection.stateSinceNanos() - other.stateSinceNanos() < 0;
  }

  /**
   * Returns whether the maximum number of connections is idle, so that any other one closes with
   * its next response.
   *
   * <p>Otherwise, clients that send one request and keep their connection would use up all
   * connections long before the idle timeout. Announcing the close in the response is safe, while
   * closing an idle connection may race with its client's next request. If that many ordinary
   * clients send requests in turn, the cost is a new connection for each of their requests.
   */
  boolean hasMaxIdleConnections() {
    return idleCount() >= maxIdleConnections;
  }

  /** Returns how many connections have received a request, are kept and are idle. */
  int idleCount() {
    int idle = 0;
    for (TrackedConnection connection : connections) {
      boolean isIdle =
          connection.hasReceivedRequest()
              && connection.isBetweenRequests()
              && !connection.isClosing();
      idle += isIdle ? 1 : 0;
    }
    return idle;
  }

  /** Enforces the timeouts of all connections. */
  void enforceTimeouts() {
    for (TrackedConnection connection : List.copyOf(connections)) {
      connection.enforceTimeouts();
    }
  }

  /** Returns how many connections are open. */
  int size() {
    return connections.size();
  }

  /** Returns how many connections are not being read. */
  int readingPausedCount() {
    int count = 0;
    for (TrackedConnection connection : connections) {
      count += connection.isReadingPaused() ? 1 : 0;
    }
    return count;
  }

  /** Starts a drain: from now on, each connection closes with its next response. */
  void startDraining() {
    draining = true;
  }

  /** Returns whether {@link #startDraining} was called. */
  boolean isDraining() {
    return draining;
  }

  /**
   * Records that no new connection is accepted from now on.
   *
   * @param done completed when no connection is left
   */
  void stopAccepting(CompletableFuture<Void> done) {
    drained = done;
  }

  /** Returns whether new connections are accepted, so that one that closes makes room for them. */
  boolean isAccepting() {
    return drained == null;
  }

  /** Closes all connections between requests on which no further request has arrived unread. */
  void closeIdleConnections(String reason) {
    for (TrackedConnection connection : List.copyOf(connections)) {
      if (connection.isBetweenRequests()) {
        connection.initiateClose(reason);
      }
    }
  }

  /** Completes the drain if no new connection is accepted and none is left. */
  void completeDrainIfEmpty() {
    if (drained != null && connections.isEmpty()) {
      drained.complete(null);
    }
  }
}
