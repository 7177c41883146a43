package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpMethod;
import merlinrouter.model.ClientRequest;

/**
 * A valid request, apart from its body.
 *
 * @param request what the gateway decides on
 * @param method the method it is forwarded with
 * @param uri path and query, as received
 * @param idempotencyKey null if the client sent none
 */
record ParsedRequest(ClientRequest request, HttpMethod method, String uri, String idempotencyKey) {}
