package merlinrouter.model;

/** The endpoints that drop duplicates of a request with an idempotency key. */
public enum DeduplicationScope {
  /** Every endpoint. */
  ALL_ENDPOINTS,
  /** The endpoints in the zone of the first attempt that may have been executed. */
  ZONE,
  /** The endpoints in the cell of the first attempt that may have been executed. */
  CELL
}
