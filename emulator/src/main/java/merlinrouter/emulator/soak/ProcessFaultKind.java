package merlinrouter.emulator.soak;

/**
 * What may happen to whole node processes in a hard soak test. The order is part of what a seed
 * determines.
 */
enum ProcessFaultKind {
  /** A node gets a series of signals that begins its graceful shutdown, and starts again. */
  TERMINATED_BY_SERIES,
  /** A node gets several SIGHUP within milliseconds, with its configuration changed in between. */
  RELOADED_BY_SERIES,
  /** A node is killed and starts again from nothing. */
  KILLED,
  /** Some nodes shut down gracefully and start again, one soon after another. */
  NEIGHBORS_RESTARTED,
  /**
   * Idle clients take a node's file descriptors before, during and after an outage of discovery;
   * the node may be shut down meanwhile. Only in some runs.
   */
  CROWDED
}
