package merlinrouter.gateway;

import java.util.List;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;

/**
 * Events that a host reports to its gateway, in the order in which they occur. Each event carries
 * the monotonic time in nanoseconds. Calls must not overlap, and an event must not be delivered
 * from within an action.
 */
public interface GatewayEvents {
  /** Reports an update of the endpoint list, or that a subscription to it failed. */
  void endpointsUpdated(long nowNanos, EndpointUpdateType type, List<Endpoint> endpoints);

  /**
   * Reports a new request; exactly one final response is due unless the client disconnects. Hosts
   * must not deliver a request with the id of an open one. If the host has ended the other one
   * without having reported its end yet, the gateway rejects or fails the new one at once.
   */
  void requestReceived(long nowNanos, ClientRequest request);

  /** Reports the end of an attempt; each attempt ends exactly once. */
  void attemptEnded(long nowNanos, AttemptResult result);

  /** Reports the start of a response. Only the simulator reports it; it causes no action. */
  void responseStarted(long nowNanos, String requestId);

  /** Reports that the client disconnected; no response is due any more. */
  void clientDisconnected(long nowNanos, String requestId);

  /** Reports the end of a counter call; calls with the same key end in their starting order. */
  void counterCallEnded(long nowNanos, long counterKey, Outcome outcome, double total);

  /**
   * Reports the end of a health check. Only the load report is used; it is empty if the endpoint
   * sent none.
   */
  void healthCheckEnded(
      long nowNanos,
      String endpointId,
      Outcome outcome,
      long durationNanos,
      List<Double> loadReport);

  /** Reports that the timer fired; a gateway has only one timer and ignores the token. */
  void timerFired(long nowNanos, long token);
}
