package merlinrouter.retry;

import merlinrouter.model.Outcome;
import merlinrouter.settings.RequestClass;

/**
 * A request whose attempt did not end it.
 *
 * @param requestClass its class
 * @param history whether its attempts may have been executed
 * @param attempts how many attempts it has had
 * @param objectiveAtNanos moment up to which a response earns the full value
 * @param meanServiceSeconds mean service time of its class
 * @param lastOutcome how the attempt ended
 */
public record RetryCandidate(
    RequestClass requestClass,
    ExecutionHistory history,
    int attempts,
    long objectiveAtNanos,
    double meanServiceSeconds,
    Outcome lastOutcome) {}
