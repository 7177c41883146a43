package merlinrouter.emulator.request;

/** How a request ended, as observed by its client. */
public enum ClientOutcome {
  /** It has not ended. */
  PENDING,
  /** A complete response was received. */
  RESPONDED,
  /** The node closed or reset the connection before a complete response. */
  CONNECTION_CLOSED,
  /** No complete response was received before the client stopped waiting. */
  NO_RESPONSE,
  /** No connection could be opened: the request was never sent. */
  NOT_CONNECTED,
  /** The client disconnected without reading a response. */
  CLIENT_DISCONNECTED
}
