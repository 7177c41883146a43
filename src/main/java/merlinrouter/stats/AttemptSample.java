package merlinrouter.stats;

import merlinrouter.model.Outcome;

/**
 * Measurements of one attempt that has ended.
 *
 * @param outcome how it ended
 * @param serviceSeconds time from the attempt's start to its end
 * @param units the units of its request, possibly estimated
 * @param valueFactor the value factor of its customer's plan
 * @param latencySeconds time from the arrival of its request to the attempt's end
 * @param queueingSeconds time from the arrival of its request to the attempt's start
 */
public record AttemptSample(
    Outcome outcome,
    double serviceSeconds,
    double units,
    double valueFactor,
    double latencySeconds,
    double queueingSeconds) {}
