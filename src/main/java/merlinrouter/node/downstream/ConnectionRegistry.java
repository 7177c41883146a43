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

  /** A sixth of the sockets, which is a third of the clients' connections, may stay open idle. */
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
   * Adds a connection. At the limit, another one that no request is open on is closed for it.
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

  /** Closes a connection that no request is open on, so that its client does not lose one. */
  private boolean evictFor(TrackedConnection newest) {
    TrackedConnection candidate = evictionCandidate(newest);
    if (candidate == null) {
      return false;
    }
    // A request may have arrived on it meanwhile; then it is no candidate any more.
    return candidate.initiateClose("evicted for a new connection") || evictFor(newest);
  }

  /**
   * The oldest connection that never received anything, else the one that has been idle longest,
   * else the oldest that has received a part of its first request. Without this, silent clients
   * could occupy all connections. Null if there is none.
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
   * Whether as many connections are idle as may be, so that the next one closes with its response.
   *
   * <p>Clients that send one request and keep their connection would otherwise leave none for
   * others long before the idle timeout. Saying so in the response is safe, while closing an idle
   * connection may race with its client's next request. Where that many ordinary clients take
   * turns, the cost is a new connection for each of their requests.
   */
  boolean hasMaxIdleConnections() {
    int idle = 0;
    for (TrackedConnection connection : connections) {
      boolean isIdle =
          connection.hasReceivedRequest()
              && connection.isBetweenRequests()
              && !connection.isClosing();
      idle += isIdle ? 1 : 0;
    }
    return idle >= maxIdleConnections;
  }

  /** Enforces the timeouts of all connections. */
  void enforceTimeouts() {
    for (TrackedConnection connection : List.copyOf(connections)) {
      connection.enforceTimeouts();
    }
  }

  /** How many connections are open. */
  int size() {
    return connections.size();
  }

  /** How many connections are not read from at present. */
  int readingPausedCount() {
    int count = 0;
    for (TrackedConnection connection : connections) {
      count += connection.isReadingPaused() ? 1 : 0;
    }
    return count;
  }

  /** From now on each connection closes with its next response. */
  void startDraining() {
    draining = true;
  }

  /** Whether {@link #startDraining} was called. */
  boolean isDraining() {
    return draining;
  }

  /** Sets what completes when no connection is left: no new one is accepted from now on. */
  void setDrained(CompletableFuture<Void> done) {
    drained = done;
  }

  /** Whether a connection that closes makes room for a new one. */
  boolean isAccepting() {
    return drained == null;
  }

  /** Closes all connections between requests. */
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
