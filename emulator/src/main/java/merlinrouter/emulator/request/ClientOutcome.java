package merlinrouter.emulator.request;

/** How a request ended, as its client saw it. */
public enum ClientOutcome {
  /** It has not ended. */
  PENDING,
  /** A complete response was received. */
  RESPONDED,
  /** The node closed or reset the connection before a complete response. */
  CONNECTION_CLOSED,
  /** Nothing was received until the client stopped waiting. */
  NO_RESPONSE,
  /** No connection could be opened: the request was never sent. */
  NOT_CONNECTED,
  /** The client disconnected first. */
  CLIENT_DISCONNECTED
}
