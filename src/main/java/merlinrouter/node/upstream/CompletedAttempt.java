package merlinrouter.node.upstream;

import io.netty.buffer.ByteBuf;
import merlinrouter.model.Outcome;
import merlinrouter.node.request.OpenRequest;

/**
 * The result of an attempt that has ended.
 *
 * @param request the request that was forwarded
 * @param endpointId id of the endpoint that the request was forwarded to
 * @param outcome how the attempt ended
 * @param durationNanos time from its start to its end
 * @param chargedUnits the units that the endpoint charged; 0 if not known
 * @param body the body of the complete response, null if none was received; owned by the
 *     connection, which releases it after the listener returns
 */
public record CompletedAttempt(
    OpenRequest request,
    String endpointId,
    Outcome outcome,
    long durationNanos,
    double chargedUnits,
    ByteBuf body) {}
