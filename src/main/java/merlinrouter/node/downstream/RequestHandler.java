package merlinrouter.node.downstream;

import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.InvariantGuard;
import merlinrouter.node.request.OpenRequest;

/**
 * The node as used by its client connections: accepts their requests and provides the clocks,
 * checks and log that they share. All methods are called on the event loop only. Times and
 * durations are in nanoseconds.
 */
public interface RequestHandler {
  /**
   * Accepts a request and starts to handle it. The response may be written before this returns.
   *
   * @return false, with nothing done, if another request with the same id is still open, or has
   *     ended and must not be executed again
   */
  boolean accept(OpenRequest request);

  /** Reports that the client of an accepted request disconnected before its response. */
  void clientDisconnected(OpenRequest request);

  /** Returns whether the node is ready to serve, which its health check requires. */
  boolean isReady();

  /**
   * Returns when the event loop polled its sockets before its latest poll, in {@link
   * System#nanoTime}: whatever a socket delivers now arrived after that, however long the loop has
   * been stalled since.
   */
  long previousPollNanos();

  /** Converts a time of {@link System#nanoTime} to the clock that the gateway's decisions use. */
  long toGatewayTime(long nanoTime);

  /**
   * Returns the deadline that the gateway applies to a request, which is earlier than the client's
   * own by a margin for writing the response, and during a graceful shutdown not later than the
   * time by which all responses are due.
   *
   * @param arrivedAtNanos when the request arrived, by the gateway's clock
   * @param timeoutNanos how long its client waits from then on
   */
  long deadlineNanos(long arrivedAtNanos, long timeoutNanos);

  /** Returns the guard for the last check before a client connection is closed. */
  InvariantGuard guard();

  /** Returns the log that counts the events of the client connections. */
  NodeLog log();
}
