package merlinrouter.node.config;

import java.net.SocketAddress;
import merlinrouter.settings.GatewaySettings;

/**
 * What a node is told at its start.
 *
 * @param listen where clients connect
 * @param discovery where the endpoint list is watched
 * @param counter where the shared quota counter listens; null if there is none
 * @param seed seed of the gateway's random numbers
 * @param sockets how many file descriptors the process may hold
 * @param memoryLimitBytes how much memory the process may take
 * @param cores the part of a CPU core that the process has
 * @param knownEndpoints the endpoint list as last known before this start
 * @param connectTimeout time in nanoseconds after which a connection attempt has failed
 * @param keepAlive time in nanoseconds after which an endpoint closes an idle connection
 * @param names the names that stand for the settings' indices
 * @param settings the gateway's settings
 */
public record NodeConfig(
    SocketAddress listen,
    SocketAddress discovery,
    SocketAddress counter,
    long seed,
    int sockets,
    long memoryLimitBytes,
    double cores,
    EndpointList knownEndpoints,
    long connectTimeout,
    long keepAlive,
    SettingNames names,
    GatewaySettings settings) {}
