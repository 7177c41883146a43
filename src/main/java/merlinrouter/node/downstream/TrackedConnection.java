package merlinrouter.node.downstream;

/** A client connection as used by {@link ConnectionRegistry}. */
interface TrackedConnection {
  /** Returns whether it closes after its last response, or is closed. */
  boolean isClosing();

  /** Returns whether a request on it is waiting for its response. */
  boolean hasOpenRequest();

  /** Returns whether it has received at least one whole request. */
  boolean hasReceivedRequest();

  /**
   * Returns whether no request is open on it or received in part, and no response is being written
   * that its client reads, however slowly.
   */
  boolean isBetweenRequests();

  /**
   * Returns the time from which its timeouts count: that of the accept, until a whole request has
   * been received; later the time at which the first byte, and then the whole head, of the request
   * that is being received was read, or else that of the last response.
   */
  long stateSinceNanos();

  /** Returns whether it is currently not being read. */
  boolean isReadingPaused();

  /** Closes it if it has been idle, closing or receiving one request for too long. */
  void enforceTimeouts();

  /**
   * Closes it on the node's initiative, unless a part of the next request, or the rest of the one
   * that it is receiving, has arrived unread. A request that it has received only in part is
   * rejected. If a request is open, this only counts a violation.
   *
   * @param reason why it is closed; the body of the response if a request is rejected
   * @return whether it is being closed
   */
  boolean initiateClose(String reason);
}
