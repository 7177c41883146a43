package merlinrouter.model;

import java.util.List;

/**
 * The end of an attempt.
 *
 * @param requestId the request that was attempted
 * @param outcome how the attempt ended
 * @param durationNanos time since it was started
 * @param endpointId the endpoint that it went to
 * @param requestComplete whether the client is owed nothing more
 * @param attempt number of the attempt, from 0
 * @param actualUnits the units that replace the request's estimate; 0 if not known
 * @param loadReport the endpoint's load report; empty if there is none
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
