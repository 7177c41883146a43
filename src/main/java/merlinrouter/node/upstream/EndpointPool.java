package merlinrouter.node.upstream;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import merlinrouter.model.Endpoint;

/**
 * The idle connections to one incarnation of an endpoint at one address; after a restart or a
 * change of its address the endpoint has a new pool. Used on the event loop only.
 */
final class EndpointPool {
  private final Endpoint endpoint;
  private final SocketAddress address;

  /** The most recently used connection is first. */
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

  private boolean retired;

  EndpointPool(Endpoint endpoint, SocketAddress address) {
    this.endpoint = endpoint;
    this.address = address;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  SocketAddress address() {
    return address;
  }

  /** Returns whether this is the pool of the same incarnation of the endpoint at this address. */
  boolean isFor(Endpoint other, SocketAddress otherAddress) {
    return address.equals(otherAddress) && endpoint.startedAtNanos() == other.startedAtNanos();
  }

  /** Returns whether this pool is retired, so that its connections must not be reused. */
  boolean isRetired() {
    return retired;
  }

  int idleCount() {
    return idle.size();
  }

  /** Removes and returns a connection that is open and may be written to; null if there is none. */
  UpstreamConnection acquire() {
    UpstreamConnection connection = pollReusable();
    while (connection != null && !connection.readAndCheckOpen()) {
      connection = pollReusable();
    }
    return connection;
  }

  /**
   * Removes and returns the most recently used connection, so that the others reach their idle
   * timeout; during its quiet period the least recently used one; null if neither may be used.
   */
  private UpstreamConnection pollReusable() {
    UpstreamConnection mostRecent = idle.peekFirst();
    if (mostRecent != null && mostRecent.isQuietPeriodOver()) {
      return idle.pollFirst();
    }
    UpstreamConnection leastRecent = idle.peekLast();
    return leastRecent != null && leastRecent.isQuietPeriodOver() ? idle.pollLast() : null;
  }

  /** Adds a connection that has no attempt. */
  void release(UpstreamConnection connection) {
    idle.push(connection);
  }

  void remove(UpstreamConnection connection) {
    idle.remove(connection);
  }

  /** Closes the least recently used idle connection; returns false if there is none. */
  boolean closeLeastRecentlyUsed() {
    UpstreamConnection connection = idle.pollLast();
    if (connection == null) {
      return false;
    }
    connection.close();
    return true;
  }

  /** Closes connections that became idle before {@code cutoffNanos}, a {@link System#nanoTime}. */
  void closeIdleSince(long cutoffNanos) {
    while (!idle.isEmpty() && idle.peekLast().idleSinceNanos() - cutoffNanos < 0) {
      idle.pollLast().close();
    }
  }

  /** Closes the idle connections now and the others when their attempts end. */
  void retire() {
    retired = true;
    while (!idle.isEmpty()) {
      idle.poll().close();
    }
  }
}
