package merlinrouter.node.upstream;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import merlinrouter.model.Endpoint;

/**
 * The idle connections to one incarnation of an endpoint at one address; a restart or another
 * address makes a new pool. Used on the event loop only.
 */
final class EndpointPool {
  private final Endpoint endpoint;
  private final SocketAddress address;

  /** The most recently used first. */
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

  /** Whether this is the pool of the same run of the endpoint at the same address. */
  boolean isFor(Endpoint other, SocketAddress otherAddress) {
    return address.equals(otherAddress) && endpoint.startedAtNanos() == other.startedAtNanos();
  }

  /** Whether its connections are of no further use. */
  boolean isRetired() {
    return retired;
  }

  int idleCount() {
    return idle.size();
  }

  /** Takes an open connection that may be written to; null if there is none. */
  UpstreamConnection acquire() {
    UpstreamConnection connection = pollReusable();
    while (connection != null && !connection.readAndCheckOpen()) {
      connection = pollReusable();
    }
    return connection;
  }

  /**
   * The most recently used, so that the others reach their idle timeout; within its quiet period
   * the least recently used.
   */
  private UpstreamConnection pollReusable() {
    UpstreamConnection mostRecent = idle.peekFirst();
    if (mostRecent != null && mostRecent.isQuietPeriodOver()) {
      return idle.pollFirst();
    }
    UpstreamConnection leastRecent = idle.peekLast();
    return leastRecent != null && leastRecent.isQuietPeriodOver() ? idle.pollLast() : null;
  }

  /** Adds a connection that has no attempt any more. */
  void release(UpstreamConnection connection) {
    idle.push(connection);
  }

  void remove(UpstreamConnection connection) {
    idle.remove(connection);
  }

  /** Closes the least recently used idle connection; false if there is none. */
  boolean closeLeastRecentlyUsed() {
    UpstreamConnection connection = idle.pollLast();
    if (connection == null) {
      return false;
    }
    connection.close();
    return true;
  }

  /** Closes what has been idle since before a moment of {@link System#nanoTime}. */
  void closeIdleSince(long momentNanos) {
    while (!idle.isEmpty() && idle.peekLast().idleSinceNanos() - momentNanos < 0) {
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
