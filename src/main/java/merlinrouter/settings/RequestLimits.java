package merlinrouter.settings;

/**
 * What the deployment allows.
 *
 * @param maxAttempts most attempts of one request
 * @param maxOpenRequests most requests that a gateway may hold; read, not enforced
 * @param healthChecks whether endpoints may be checked actively
 * @param retryAfter whether clients honour Retry-After; read, not used: it is always sent
 * @param maxRetryAfterNanos the longest such time that clients honour
 * @param endpointSubscription whether updates of the endpoint list must be subscribed to
 * @param connectTimeoutNanos how long an attempt may wait for its connection
 */
public record RequestLimits(
    int maxAttempts,
    int maxOpenRequests,
    boolean healthChecks,
    boolean retryAfter,
    long maxRetryAfterNanos,
    boolean endpointSubscription,
    long connectTimeoutNanos) {}
