package merlinrouter.node.config;

import java.net.SocketAddress;
import merlinrouter.model.Endpoint;

/**
 * An endpoint and where this node reaches it.
 *
 * @param endpoint its description by discovery
 * @param address where it listens
 */
public record EndpointEntry(Endpoint endpoint, SocketAddress address) {}
