package merlinrouter.settings;

/**
 * The shared quota counter.
 *
 * @param present whether there is one
 * @param timeoutNanos a call without an answer after this time has timed out
 * @param reportsActualUnits whether responses report the units that a request really used
 * @param maxRequestUnits the largest request, in units
 */
public record CounterSettings(
    boolean present, long timeoutNanos, boolean reportsActualUnits, double maxRequestUnits) {}
