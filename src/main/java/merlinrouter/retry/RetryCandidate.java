package merlinrouter.retry;

import merlinrouter.model.Outcome;
import merlinrouter.settings.RequestClass;

/**
 * A request whose last attempt has ended without completing it.
 *
 * @param requestClass its class
 * @param history whether its attempts may have been executed
 * @param attempts number of attempts that have ended
 * @param objectiveAtNanos time until which a response earns the full value
 * @param meanServiceSeconds mean service time of its class
 * @param lastOutcome how the last attempt ended
 */
public record RetryCandidate(
    RequestClass requestClass,
    ExecutionHistory history,
    int attempts,
    long objectiveAtNanos,
    double meanServiceSeconds,
    Outcome lastOutcome) {}
