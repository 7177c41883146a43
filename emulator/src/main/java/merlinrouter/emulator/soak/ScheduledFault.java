package merlinrouter.emulator.soak;

/**
 * A fault that a seed determines.
 *
 * @param kind what happens
 * @param selector picks the node or server and the fault's parameters; not negative
 * @param delayToNextMillis time until the next fault begins
 * @param durationMillis how long the fault lasts, where it lasts
 */
record ScheduledFault(FaultKind kind, int selector, long delayToNextMillis, long durationMillis) {}
