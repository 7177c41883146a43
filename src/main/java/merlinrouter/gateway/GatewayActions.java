package merlinrouter.gateway;

/**
 * Actions that a gateway requests from its host. They are called on the thread that creates the
 * gateway or delivers an event, before that call returns. An action must not deliver an event
 * before it returns.
 */
public interface GatewayActions {
  /**
   * Starts an attempt.
   *
   * @param requestId the request to forward
   * @param endpointId the endpoint to forward it to
   * @param timeoutNanos time after which the host ends the attempt
   */
  void startAttempt(String requestId, String endpointId, long timeoutNanos);

  /**
   * Sends the final response of a rejected request; a retry by the client is harmless.
   *
   * @param requestId the request to reject
   * @param retryAfterNanos time after which the client should retry; 0 to state no time
   */
  void reject(String requestId, long retryAfterNanos);

  /**
   * Sends the final response of a failed request: its effect is unknown, and a retry by the client
   * may execute it again.
   */
  void fail(String requestId);

  /** Starts a health check of an endpoint; requested only if the settings allow health checks. */
  void startHealthCheck(String endpointId);

  /**
   * Adds to a counter of the shared quota service.
   *
   * @param counterKey identifies the counter
   * @param units units to add; negative to return units
   * @param timeToLiveNanos lifetime of the counter, counted from its first addition
   */
  void addToCounter(long counterKey, double units, long timeToLiveNanos);

  /** Requests {@link GatewayEvents#timerFired} after a delay. */
  void scheduleTimer(long token, long delayNanos);

  /**
   * Subscribes to updates of the endpoint list. Requested at the start if the settings require a
   * subscription, and after each subscription that failed.
   */
  void subscribeToEndpoints();

  /** Writes a log line for operators. */
  void log(String line);
}
