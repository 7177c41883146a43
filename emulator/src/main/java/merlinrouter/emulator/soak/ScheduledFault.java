package merlinrouter.emulator.soak;

/**
 * A fault that a seed determines.
 *
 * @param kind the kind of fault
 * @param selector selects the node or server and the fault's parameters; not negative
 * @param delayToNextMillis time until the next fault begins
 * @param durationMillis how long the fault lasts; unused for kinds that have no duration or whose
 *     duration the selector determines
 */
record ScheduledFault(FaultKind kind, int selector, long delayToNextMillis, long durationMillis) {}
