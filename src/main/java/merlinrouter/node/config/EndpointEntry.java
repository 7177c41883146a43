package merlinrouter.node.config;

import java.net.SocketAddress;
import merlinrouter.model.Endpoint;

/**
 * An endpoint and its address.
 *
 * @param endpoint the endpoint as described by discovery
 * @param address the address at which the endpoint listens
 */
public record EndpointEntry(Endpoint endpoint, SocketAddress address) {}
