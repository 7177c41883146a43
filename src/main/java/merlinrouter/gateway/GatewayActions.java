package merlinrouter.gateway;

/**
 * What a gateway asks of its host, on the thread of the event that caused it and from within that
 * event. An action must not deliver an event before it returns.
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
   * Sends the final response: rejected; a retry by the client is harmless.
   *
   * @param requestId the request to reject
   * @param retryAfterNanos time after which the client should retry; 0 for no advice
   */
  void reject(String requestId, long retryAfterNanos);

  /** Sends the final response: failed; a retry by the client may execute the request again. */
  void fail(String requestId);

  /** Starts a health check of an endpoint; requested only where the settings allow it. */
  void startHealthCheck(String endpointId);

  /**
   * Adds to a counter of the shared quota service.
   *
   * @param counterKey names the counter
   * @param amount units to add; negative to take back
   * @param timeToLiveNanos how long the counter lives from its first addition
   */
  void addToCounter(long counterKey, double amount, long timeToLiveNanos);

  /** Requests {@link GatewayEvents#timerFired} after a delay. */
  void scheduleTimer(long token, long delayNanos);

  /** Subscribes to the endpoint list, where the settings require it. */
  void subscribeToEndpoints();

  /** Writes a line for operators. */
  void log(String line);
}
