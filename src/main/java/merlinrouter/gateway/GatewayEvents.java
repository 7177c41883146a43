package merlinrouter.gateway;

import java.util.List;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;

/**
 * What a host reports to its gateway, in the order in which things happen. Each event carries the
 * monotonic time in nanoseconds. One thread at a time may call; an event must not be delivered from
 * within an action.
 */
public interface GatewayEvents {
  /** The endpoint list, or changes to it. */
  void endpointsUpdated(long nowNanos, EndpointUpdateType type, List<Endpoint> endpoints);

  /**
   * A request arrived; exactly one final response is owed. A request with the id of one that is
   * open is ignored: a host must not deliver it. It is rejected if the client of that one
   * disconnected before an attempt.
   */
  void requestReceived(long nowNanos, ClientRequest request);

  /** An attempt is over; each attempt ends exactly once. */
  void attemptEnded(long nowNanos, AttemptResult result);

  /** The response of a request began to stream. Reported by the simulator; causes no action. */
  void responseStarted(long nowNanos, String requestId);

  /** The client disconnected; nothing is owed any more. */
  void clientDisconnected(long nowNanos, String requestId);

  /** A call to the counter ended; calls with one key end in their order. */
  void counterCallEnded(long nowNanos, long counterKey, Outcome outcome, double total);

  /** A health check ended; only the load report is used, which is empty if there is none. */
  void healthCheckEnded(
      long nowNanos,
      String endpointId,
      Outcome outcome,
      long durationNanos,
      List<Double> loadReport);

  /** The timer fired; a gateway has one, so that the token is not used. */
  void timerFired(long nowNanos, long token);
}
