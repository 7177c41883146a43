package merlinrouter.node.config;

import java.net.SocketAddress;
import merlinrouter.settings.GatewaySettings;

/**
 * The configuration of a node.
 *
 * @param listen where clients connect
 * @param discovery where the endpoint list is watched
 * @param counter where the shared quota counter listens; null if there is none
 * @param seed seed of the gateway's random numbers
 * @param maxSockets how many file descriptors the process may hold
 * @param memoryLimitBytes how much memory the process may use
 * @param cores the fraction of a CPU core that the process has, above 0 and up to 1
 * @param knownEndpoints the endpoint list as last known before this start
 * @param connectTimeoutNanos time after which a connection attempt has failed
 * @param keepAliveNanos time after which an endpoint closes an idle connection
 * @param names the names that stand for the settings' indices
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
