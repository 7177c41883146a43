package merlinrouter.settings;

/**
 * Limits and capabilities of the deployment.
 *
 * @param maxAttempts maximum number of attempts per request
 * @param maxOpenRequests maximum number of open requests per gateway; read, not enforced
 * @param healthChecks whether active health checks of endpoints are allowed
 * @param retryAfter whether clients honour Retry-After; read, not used: it is sent regardless
 * @param maxRetryAfterNanos the longest Retry-After time that clients honour
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
