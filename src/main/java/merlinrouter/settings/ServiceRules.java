package merlinrouter.settings;

/**
 * Limits that the service is judged by.
 *
 * @param responseSlackNanos how long after its deadline a final response still counts; read, not
 *     used
 * @param slowStartInitialFraction part of its capacity that an endpoint has when it starts, 0 to 1
 * @param slowStartDurationNanos time after which it has its full capacity
 * @param overloadFactor an endpoint that gets more than this many times its present capacity
 * @param overloadWindowNanos for this long becomes overloaded; both are read, not used: slow start
 *     keeps every gateway far below
 */
public record ServiceRules(
    long responseSlackNanos,
    double slowStartInitialFraction,
    long slowStartDurationNanos,
    double overloadFactor,
    long overloadWindowNanos) {}
