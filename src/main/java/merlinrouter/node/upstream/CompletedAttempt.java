package merlinrouter.node.upstream;

import io.netty.buffer.ByteBuf;
import merlinrouter.model.Outcome;
import merlinrouter.node.request.OpenRequest;

/**
 * An attempt that is over.
 *
 * @param request the request that was forwarded
 * @param endpointId the endpoint that it was for
 * @param outcome how the attempt ended
 * @param durationNanos time since it was started
 * @param chargedUnits the units that the endpoint charged; 0 if not known
 * @param body the body of a complete response, null if none came; stays owned by the pool and is
 *     released once the listener returns
 */
public record CompletedAttempt(
    OpenRequest request,
    String endpointId,
    Outcome outcome,
    long durationNanos,
    double chargedUnits,
    ByteBuf body) {}
