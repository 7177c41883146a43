package merlinrouter.model;

/**
 * Which endpoints drop duplicates of a request with an idempotency key, once it may have been
 * executed.
 */
public enum DeduplicationScope {
  /** Every endpoint. */
  ALL_ENDPOINTS,
  /** The endpoints in the zone of the first attempt that may have been executed. */
  ZONE,
  /** The endpoints in the cell of the first attempt that may have been executed. */
  CELL;

  /** Returns whether the scope includes every endpoint, whichever one was first. */
  public boolean coversAllEndpoints() {
    return this == ALL_ENDPOINTS;
  }

  /**
   * Returns whether an endpoint drops duplicates of a request that another one may have executed.
   *
   * @param first endpoint of the first attempt that may have been executed
   * @param other endpoint that a duplicate would be sent to
   */
  public boolean contains(Endpoint first, Endpoint other) {
    return switch (this) {
      case ALL_ENDPOINTS -> true;
      case ZONE -> first.zone() == other.zone();
      case CELL -> first.cell() == other.cell();
    };
  }
}
