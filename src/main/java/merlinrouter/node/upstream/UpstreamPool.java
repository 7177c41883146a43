package merlinrouter.node.upstream;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Endpoint;
import merlinrouter.model.Outcome;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.OpenRequest;

/**
 * Forwards requests to endpoints over pooled connections, within a bound on the number of
 * connections. Used on the event loop only.
 */
public final class UpstreamPool {
  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The part of the file descriptors that upstream connections may take. */
  private static final int SOCKET_SHARE_NUMERATOR = 3;

  private static final int SOCKET_SHARE_DENOMINATOR = 8;
  private static final int MIN_MAX_CONNECTIONS = 16;

  private final AttemptListener listener;
  private final EventLoop loop;
  private final Connector connector;
  private final EndpointPools pools = new EndpointPools();
  private final long idleTimeoutNanos;
  private final int maxConnections;

  /**
   * Creates a pool without endpoints.
   *
   * @param listener is notified of the ends of attempts
   * @param loop the event loop that all runs on
   * @param config timeouts and bounds
   * @param log counts what goes wrong
   */
  public UpstreamPool(AttemptListener listener, EventLoop loop, NodeConfig config, NodeLog log) {
    this.listener = listener;
    this.loop = loop;
    connector = new Connector(loop, config, log);
    // Well before the endpoint closes the connection: a request that is written to a connection
    // that its peer closes ends as a reset.
    idleTimeoutNanos = config.keepAliveNanos() / 2;
    maxConnections =
        Math.max(
            MIN_MAX_CONNECTIONS,
            config.maxSockets() * SOCKET_SHARE_NUMERATOR / SOCKET_SHARE_DENOMINATOR);
    loop.scheduleAtFixedRate(
        this::closeIdle, SWEEP_INTERVAL_NANOS, SWEEP_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }

  /**
   * Follows the endpoint list: connections to endpoints that are removed, draining, moved or
   * restarted are closed once they are idle.
   *
   * @param update the list or its changed entries
   * @param removeUnlisted whether endpoints that the update does not name are removed
   * @return the update as the gateway should see it: an endpoint is removed as well if another one
   *     started at its address later
   */
  public List<Endpoint> update(EndpointList update, boolean removeUnlisted) {
    return pools.update(update, removeUnlisted);
  }

  /**
   * Starts an attempt; the listener is notified of its end exactly once, possibly before this
   * method returns.
   *
   * @param request the request to forward
   * @param endpointId the endpoint to forward it to
   * @param timeoutNanos time after which the attempt ends
   */
  public void send(OpenRequest request, String endpointId, long timeoutNanos) {
    Attempt attempt = new Attempt(request, endpointId, timeoutNanos, listener);
    EndpointPool pool = pools.get(endpointId);
    UpstreamConnection connection = pool == null ? null : acquire(pool);
    if (pool == null || connection == null && !makeRoom()) {
      loop.execute(() -> attempt.end(Outcome.NOT_SENT));
      return;
    }
    attempt.scheduleTimeout(loop);
    if (connection != null) {
      connection.write(attempt);
    } else {
      connector.connect(pool, attempt);
    }
  }

  private UpstreamConnection acquire(EndpointPool pool) {
    // The sweep alone is too coarse where endpoints keep idle connections for a short time only.
    pool.closeIdleSince(System.nanoTime() - idleTimeoutNanos);
    return pool.acquire();
  }

  /**
   * At the bound on connections, closes an idle one to any endpoint.
   *
   * @return whether another connection may be opened
   */
  private boolean makeRoom() {
    if (connector.connectionCount() < maxConnections) {
      return true;
    }
    for (EndpointPool pool : pools.all()) {
      if (pool.closeLeastRecentlyUsed()) {
        return true;
      }
    }
    return false;
  }

  /** How many connections to endpoints are open or being opened. */
  public int connectionCount() {
    return connector.connectionCount();
  }

  /** How many connections are idle. */
  public int idleConnectionCount() {
    return pools.all().stream().mapToInt(EndpointPool::idleCount).sum();
  }

  private void closeIdle() {
    long momentNanos = System.nanoTime() - idleTimeoutNanos;
    for (EndpointPool pool : pools.all()) {
      pool.closeIdleSince(momentNanos);
    }
  }
}
