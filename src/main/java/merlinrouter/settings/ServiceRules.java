package merlinrouter.settings;

/**
 * Rules by which the service is evaluated: when a response is late, and how much load an endpoint
 * can take.
 *
 * @param responseSlackNanos how long after the deadline a final response still counts as in time;
 *     read, not used
 * @param slowStartInitialFraction fraction of its capacity that an endpoint has when it starts, 0
 *     to 1
 * @param slowStartDurationNanos time from its start after which an endpoint has its full capacity
 * @param overloadFactor load that overloads an endpoint, as a multiple of its current capacity;
 *     read, not used: slow start keeps the load of every gateway far below it
 * @param overloadWindowNanos how long the load must exceed {@code overloadFactor} to overload an
 *     endpoint; read, not used
 */
public record ServiceRules(
    long responseSlackNanos,
    double slowStartInitialFraction,
    long slowStartDurationNanos,
    double overloadFactor,
    long overloadWindowNanos) {}
