package merlinrouter.model;

/**
 * An entry of the endpoint list.
 *
 * @param id its name, unique among all endpoints of the fleet
 * @param weight its capacity relative to other endpoints; taken as 1 if it is not positive, or if
 *     the settings declare weights meaningless
 * @param zone index of its zone, -1 if unknown
 * @param cell number of its cell
 * @param machineType index of its machine type, -1 if unknown
 * @param state whether it accepts requests
 * @param startedAtNanos when it started, by the gateway's monotonic clock; 0 for long ago. In a
 *     node, an endpoint as reported by discovery has wall-clock time here, which is converted
 *     before the gateway is updated
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
