package merlinrouter.node.downstream;

import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.InvariantGuard;
import merlinrouter.node.request.OpenRequest;

/**
 * The node behind the client connections: accepts their requests and provides what they share. All
 * methods are called on the event loop only. Moments and durations are in nanoseconds.
 */
public interface RequestHandler {
  /**
   * Accepts a request and starts to handle it. The response may be written before this returns.
   *
   * @return false, with nothing done, if another request with the same id is still open
   */
  boolean accept(OpenRequest request);

  /** Reports that the client of a request that was accepted disconnected before its response. */
  void clientDisconnected(OpenRequest request);

  /** Whether the node's health check passes, as far as the node itself is concerned. */
  boolean isReady();

  /**
   * When the event loop polled its sockets before the present poll, in {@link System#nanoTime}:
   * whatever a socket delivers now arrived after that, however long the loop was stalled since.
   */
  long previousPollNanos();

  /** Converts a moment of {@link System#nanoTime} to the clock that the gateway's decisions use. */
  long toGatewayTime(long nanoTime);

  /**
   * The deadline that the gateway is given for a request, earlier than the client's own by a margin
   * for writing the response.
   *
   * @param arrivedAtNanos when the request arrived, by the gateway's clock
   * @param timeoutNanos how long its client waits from then
   */
  long deadlineNanos(long arrivedAtNanos, long timeoutNanos);

  /** The last check before a client's connection is closed. */
  InvariantGuard guard();

  /** Counts what happens on the client connections. */
  NodeLog log();
}
