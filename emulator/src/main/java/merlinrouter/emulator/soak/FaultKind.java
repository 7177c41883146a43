package merlinrouter.emulator.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * The kinds of fault that a soak test injects. The names are option values of the command line. The
 * order must stay, since it determines which faults a seed draws.
 */
enum FaultKind {
  /** Some of a node's accepts fail. */
  ACCEPT_FAILS,
  /** Some of a node's attempts to create a socket fail. */
  SOCKET_FAILS,
  /** Some of a node's connects fail locally, although the peer accepts connections. */
  CONNECT_FAILS,
  /** Some of a node's reads and waits for events fail as if interrupted by a signal (EINTR). */
  READS_INTERRUPTED,
  /** Some of a node's reads and writes transfer only some of the bytes. */
  SHORT_CALLS,
  /** A node's wall clock steps by up to an hour. */
  CLOCK_STEPS,
  /** A node's process is paused for 0.10 to 0.15 s. */
  NODE_HELD,
  /** A node reloads its configuration. */
  NODE_RELOADED,
  /** A node shuts down gracefully and starts again. */
  NODE_RESTARTED,
  /** An upstream server does not respond. */
  SERVER_HANGS,
  /** An upstream server responds with errors. */
  SERVER_ERRS,
  /** An upstream server rejects requests before it executes them. */
  SERVER_TURNS_AWAY,
  /** An upstream server resets connections before it responds. */
  SERVER_RESETS,
  /** An upstream server truncates its responses. */
  SERVER_CUTS_SHORT,
  /** An upstream server responds without a content length, then closes or resets. */
  SERVER_GIVES_NO_LENGTH,
  /** An upstream server resets all its connections at the same time. */
  SERVER_DROPS_CONNECTIONS,
  /** An upstream server starts to drain and another one starts. */
  SERVER_REPLACED,
  /** The network in front of an upstream server forwards nothing and notifies neither side. */
  LINK_SILENT,
  /** The network in front of an upstream server fragments what it forwards. */
  LINK_IN_PIECES,
  /** The network in front of an upstream server delays what it forwards. */
  LINK_SLOW,
  /** Discovery is unresponsive. */
  DISCOVERY_SILENT,
  /** Discovery's watches are reset. */
  WATCHES_RESET,
  /** The quota counter is unresponsive. */
  COUNTER_SILENT,
  /** The quota counter's connections are reset. */
  COUNTER_RESET,
  /**
   * Two thirds of the upstream servers start to drain at the same time, and as many new ones start.
   */
  MOST_SERVERS_REPLACED,
  /** Discovery writes its lists in small pieces with pauses between them. */
  LISTS_IN_PIECES,
  /** Discovery writes a part of each list, then nothing more, or ends the watch. */
  LISTS_CUT_SHORT;

  /**
   * Returns the kinds that are drawn unless the command line names others. A further kind would
   * change the draws of each seed.
   */
  static List<FaultKind> defaultKinds() {
    List<FaultKind> kinds = new ArrayList<>(List.of(values()));
    kinds.removeAll(List.of(MOST_SERVERS_REPLACED, LISTS_IN_PIECES, LISTS_CUT_SHORT));
    return List.copyOf(kinds);
  }
}
