package merlinrouter.node.upstream;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Endpoint;
import merlinrouter.model.Outcome;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.http.DecodingScheduler;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.OpenRequest;

/**
 * Forwards requests to endpoints over pooled connections, whose number is limited. Used on the
 * event loop only.
 */
public final class UpstreamPool {
  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The share of the process's file descriptors that connections to endpoints may take. */
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
   * @param listener is notified when an attempt ends
   * @param loop the event loop of the pool and its connections
   * @param config timeouts and limits
   * @param log records skipped attempts and failures
   * @param decodingScheduler shares the event loop among the responses of endpoints
   */
  public UpstreamPool(
      AttemptListener listener,
      EventLoop loop,
      NodeConfig config,
      NodeLog log,
      DecodingScheduler decodingScheduler) {
    this.listener = listener;
    this.loop = loop;
    connector = new Connector(loop, config, log, decodingScheduler);
    // Well before the endpoint closes the connection: a request that is written while the endpoint
    // closes the connection ends as a reset.
    idleTimeoutNanos = config.keepAliveNanos() / 2;
    maxConnections =
        Math.max(
            MIN_MAX_CONNECTIONS,
            config.maxSockets() * SOCKET_SHARE_NUMERATOR / SOCKET_SHARE_DENOMINATOR);
    loop.scheduleAtFixedRate(
        this::closeIdle, SWEEP_INTERVAL_NANOS, SWEEP_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }

  /**
   * Applies an update of the endpoint list. Connections to endpoints that are removed, draining,
   * restarted or at another address are closed as soon as they are idle.
   *
   * @param update the complete list or its changed entries
   * @param removeUnlisted whether endpoints that are not in the update are removed
   * @return the changes for the gateway: the endpoints of the update, those that it removes, and
   *     those that share an address with them; an endpoint is marked as removed if its address
   *     belongs to another one that started there later
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
   * @param timeoutNanos the attempt timeout, which also covers opening a connection
   */
  public void send(OpenRequest request, String endpointId, long timeoutNanos) {
    Attempt attempt = new Attempt(request, endpointId, timeoutNanos, listener);
    try {
      start(attempt);
    } catch (Throwable cause) {
      ErrorLog.report("cannot start an attempt", cause);
      loop.execute(attempt::startFailed);
    }
  }

  private void start(Attempt attempt) {
    EndpointPool pool = pools.get(attempt.endpointId());
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
    // The sweep alone is too coarse for endpoints that close idle connections after a short time.
    pool.closeIdleSince(System.nanoTime() - idleTimeoutNanos);
    return pool.acquire();
  }

  /**
   * Closes an idle connection to any endpoint if the maximum number of connections is reached.
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

  /** Returns the number of connections to endpoints that are open or being opened. */
  public int connectionCount() {
    return connector.connectionCount();
  }

  /** Returns the number of idle connections. */
  public int idleConnectionCount() {
    return pools.all().stream().mapToInt(EndpointPool::idleCount).sum();
  }

  private void closeIdle() {
    long cutoffNanos = System.nanoTime() - idleTimeoutNanos;
    for (EndpointPool pool : pools.all()) {
      pool.closeIdleSince(cutoffNanos);
    }
  }
}
