package merlinrouter.node.config;

import java.net.SocketAddress;
import merlinrouter.settings.GatewaySettings;

/**
 * The configuration of a node.
 *
 * @param listen address at which the node accepts clients
 * @param discovery address of discovery, which publishes the endpoint list
 * @param counter address of the shared quota counter; null if there is no counter
 * @param seed seed of the gateway's random numbers
 * @param maxSockets maximum number of open file descriptors of the process
 * @param memoryLimitBytes maximum memory use of the process
 * @param cores the fraction of a CPU core that the process may use, above 0 and up to 1
 * @param knownEndpoints the last endpoint list known before the node started
 * @param connectTimeoutNanos time after which an attempt to connect to an endpoint or to the
 *     counter has failed
 * @param keepAliveNanos time after which an endpoint closes an idle connection
 * @param names names of the items that the settings identify by index
 * @param settings the gateway's settings
 */
public record NodeConfig(
    SocketAddress listen,
    SocketAddress discovery,
    SocketAddress counter,
    long seed,
    int maxSockets,
    long memoryLimitBytes,
    double cores,
    EndpointList knownEndpoints,
    long connectTimeoutNanos,
    long keepAliveNanos,
    SettingNames names,
    GatewaySettings settings) {}
