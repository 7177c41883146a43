package merlinrouter.model;

/**
 * An entry of the endpoint list.
 *
 * @param id its name, unique among all endpoints of the fleet
 * @param weight its capacity relative to other endpoints; means nothing where the settings say so
 * @param zone index of its zone, -1 if unknown
 * @param cell number of its cell
 * @param machineType index of its machine type, -1 if unknown
 * @param state whether it takes requests
 * @param startedAtNanos when it started; 0 for long ago
 */
public record Endpoint(
    String id,
    double weight,
    int zone,
    int cell,
    int machineType,
    EndpointState state,
    long startedAtNanos) {

  /** Returns the same endpoint with another moment of its start. */
  public Endpoint withStartedAtNanos(long newStartedAtNanos) {
    return new Endpoint(id, weight, zone, cell, machineType, state, newStartedAtNanos);
  }

  /** Returns the same endpoint in another state. */
  public Endpoint withState(EndpointState newState) {
    return new Endpoint(id, weight, zone, cell, machineType, newState, startedAtNanos);
  }
}
