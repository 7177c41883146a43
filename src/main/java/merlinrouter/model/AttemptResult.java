package merlinrouter.model;

import java.util.List;

/**
 * The result of an attempt that has ended.
 *
 * @param requestId id of the request
 * @param outcome how the attempt ended
 * @param durationNanos time from its start to its end
 * @param endpointId the endpoint that it was sent to; not used
 * @param requestComplete whether the request has ended, so that the gateway neither retries it nor
 *     sends a final response
 * @param attempt number of the attempt, from 0; not used
 * @param actualUnits the units consumed, which replace the request's estimate; 0 if not known
 * @param loadReport the endpoint's load report, empty if there is none; not used
 */
public record AttemptResult(
    String requestId,
    Outcome outcome,
    long durationNanos,
    String endpointId,
    boolean requestComplete,
    int attempt,
    double actualUnits,
    List<Double> loadReport) {}
