package merlinrouter.model;

/**
 * A request received from a client.
 *
 * @param id identifies the request; no two open requests have the same id
 * @param classIndex index of its request class in the settings
 * @param planIndex index of its customer's quota plan in the settings
 * @param customer number of its customer
 * @param deadlineNanos time by which the final response is due, by the gateway's clock; a node sets
 *     it earlier than the client's own deadline
 * @param units units that it consumes from the quota; may be an estimate
 * @param gatewaySpread how many gateways receive this customer's requests
 * @param firstGateway number of the first of these gateways; not used
 * @param retry whether the client marked it as a retry of an earlier request
 */
public record ClientRequest(
    String id,
    int classIndex,
    int planIndex,
    long customer,
    long deadlineNanos,
    double units,
    int gatewaySpread,
    int firstGateway,
    boolean retry) {}
