package merlinrouter.model;

/** What discovery says of an endpoint. */
public enum EndpointState {
  /** Removed from the endpoint list. */
  REMOVED,
  /** Takes new requests. */
  READY,
  /** Finishes what it has and takes nothing new. */
  DRAINING
}
