package merlinrouter.model;

/** What an update of the endpoint list holds. */
public enum EndpointUpdateType {
  /** The whole list: what it does not name is removed. */
  FULL,
  /** The whole list as saved before this start; it may be out of date. */
  CACHED,
  /** Changed entries only. */
  DELTA,
  /** Nothing: a subscription to the list failed, and the known list stands. */
  FAILED;

  /** Whether endpoints that the update does not name are removed. */
  public boolean isWholeList() {
    return this == FULL || this == CACHED;
  }
}
