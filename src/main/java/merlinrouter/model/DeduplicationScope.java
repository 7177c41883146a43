package merlinrouter.model;

/** The endpoints that drop duplicates of a request with an idempotency key. */
public enum DeduplicationScope {
  /** Every endpoint. */
  ALL_ENDPOINTS,
  /** The endpoints in the zone of the first attempt that may have been executed. */
  ZONE,
  /** The endpoints in the cell of the first attempt that may have been executed. */
  CELL;

  /** Whether every endpoint is in the scope, whichever came first. */
  public boolean coversAllEndpoints() {
    return this == ALL_ENDPOINTS;
  }

  /** Whether an endpoint drops duplicates of what another one may have executed first. */
  public boolean contains(Endpoint first, Endpoint other) {
    return switch (this) {
      case ALL_ENDPOINTS -> true;
      case ZONE -> first.zone() == other.zone();
      case CELL -> first.cell() == other.cell();
    };
  }
}
