package merlinrouter.stats;

import merlinrouter.model.Outcome;

/**
 * What one attempt showed.
 *
 * @param outcome how it ended
 * @param serviceSeconds from its start to its end
 * @param units the units that its request asked for
 * @param valueFactor the value factor of its customer's plan
 * @param latencySeconds from the arrival of its request to its end
 * @param queueingSeconds from the arrival of its request to its start
 */
public record AttemptSample(
    Outcome outcome,
    double serviceSeconds,
    double units,
    double valueFactor,
    double latencySeconds,
    double queueingSeconds) {}
