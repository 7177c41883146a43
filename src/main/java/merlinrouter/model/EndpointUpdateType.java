package merlinrouter.model;

/** The kind of an update of the endpoint list. */
public enum EndpointUpdateType {
  /** The whole list: endpoints that it does not contain are removed. */
  FULL,
  /** The whole list as saved before the gateway started; it may be out of date. */
  CACHED,
  /** Changed entries only. */
  DELTA,
  /** No entries: a subscription to the list failed; the known list remains in use. */
  FAILED;

  /** Returns whether endpoints that the update does not contain are removed. */
  public boolean isWholeList() {
    return this == FULL || this == CACHED;
  }
}
