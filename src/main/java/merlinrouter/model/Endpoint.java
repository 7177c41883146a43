package merlinrouter.model;

/**
 * An entry of the endpoint list.
 *
 * @param id its name, unique among all endpoints of the fleet
 * @param weight its capacity relative to other endpoints; ignored if the settings declare weights
 *     meaningless
 * @param zone index of its zone, -1 if unknown
 * @param cell number of its cell
 * @param machineType index of its machine type, -1 if unknown
 * @param state whether it accepts requests
 * @param startedAtNanos when it started, 0 for long ago: wall-clock time as reported by discovery,
 *     which the node converts to monotonic time before it updates the gateway
 */
public record Endpoint(
    String id,
    double weight,
    int zone,
    int cell,
    int machineType,
    EndpointState state,
    long startedAtNanos) {

  /** Returns a copy of this endpoint with another start time. */
  public Endpoint withStartedAtNanos(long newStartedAtNanos) {
    return new Endpoint(id, weight, zone, cell, machineType, state, newStartedAtNanos);
  }

  /** Returns a copy of this endpoint in another state. */
  public Endpoint withState(EndpointState newState) {
    return new Endpoint(id, weight, zone, cell, machineType, newState, startedAtNanos);
  }
}
