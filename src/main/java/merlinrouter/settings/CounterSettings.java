package merlinrouter.settings;

/**
 * Settings of the shared quota counter, and of the units that requests consume.
 *
 * @param present whether the deployment has a counter
 * @param timeoutNanos time after which a call to the counter times out
 * @param reportsActualUnits whether endpoints' responses report the units that a request consumed
 * @param maxRequestUnits maximum number of units of a request
 */
public record CounterSettings(
    boolean present, long timeoutNanos, boolean reportsActualUnits, double maxRequestUnits) {}
