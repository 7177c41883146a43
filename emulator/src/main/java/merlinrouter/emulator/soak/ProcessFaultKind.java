package merlinrouter.emulator.soak;

/**
 * The kinds of fault of whole node processes in a hard soak test. The order must stay, since it
 * determines which faults a seed draws.
 */
enum ProcessFaultKind {
  /** A node receives a series of signals that starts its graceful shutdown, and starts again. */
  TERMINATED_BY_SERIES,
  /** A node receives several SIGHUPs, milliseconds apart, with configuration changes in between. */
  RELOADED_BY_SERIES,
  /** A node is killed by SIGKILL and starts again without the state of its process. */
  KILLED,
  /** Several nodes shut down gracefully and start again, in quick succession. */
  NEIGHBORS_RESTARTED,
  /**
   * Idle clients use up a node's file descriptors before, during and after an outage of discovery;
   * the node may be shut down meanwhile. Injected only for some seeds.
   */
  CROWDED
}
