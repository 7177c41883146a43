package merlinrouter.model;

/** The state of an endpoint according to discovery. */
public enum EndpointState {
  /** Removed from the endpoint list. */
  REMOVED,
  /** Accepts new requests. */
  READY,
  /** Completes its requests in flight and accepts no new ones. */
  DRAINING
}
