package merlinrouter.node.downstream;

/** A client connection as {@link ConnectionRegistry} sees it. */
interface TrackedConnection {
  /** Whether it closes behind its last response, or is closed. */
  boolean isClosing();

  /** Whether a request on it waits for its response. */
  boolean hasOpenRequest();

  /** Whether it has received a whole request yet. */
  boolean hasReceivedRequest();

  /** Whether no request is open on it, nor received in part. */
  boolean isBetweenRequests();

  /**
   * Since when it has been in its present state: the accept, until a whole request has been
   * received; later the first byte of the request that is being received, or else the last
   * response.
   */
  long stateSinceNanos();

  /** Whether it is not read from at present. */
  boolean isReadingPaused();

  /** Closes it if it has been idle, or has been receiving one request, for too long. */
  void enforceTimeouts();

  /**
   * Closes it on the node's initiative, unless the next request, or the rest of the one that it is
   * receiving, has arrived unread. A request that it has received in part is refused. Does nothing
   * either, apart from counting a violation, if a request is open.
   *
   * @return whether it is being closed
   */
  boolean initiateClose(String reason);
}
