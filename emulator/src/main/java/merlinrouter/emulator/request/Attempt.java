package merlinrouter.emulator.request;

/**
 * One attempt of a request, as observed by an upstream server.
 *
 * @param endpointId the server's id in the endpoint list
 * @param receivedAtNanos when the complete request had been received
 * @param forwardedTimeoutMillis the timeout that the node forwarded to the server
 * @param provesNotExecuted whether the server's response proves that it did not execute the request
 */
public record Attempt(
    String endpointId,
    long receivedAtNanos,
    long forwardedTimeoutMillis,
    boolean provesNotExecuted) {}
