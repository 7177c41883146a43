package merlinrouter.emulator.request;

/**
 * One attempt of a request, as an upstream server saw it.
 *
 * @param endpointId the server's id in the endpoint list
 * @param receivedAtNanos when the complete request had been received
 * @param forwardedTimeoutMillis the remaining time that the node announced to the server
 * @param provesNotExecuted whether the server's response proves that it did not execute the request
 */
public record Attempt(
    String endpointId,
    long receivedAtNanos,
    long forwardedTimeoutMillis,
    boolean provesNotExecuted) {}
