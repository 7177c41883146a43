/**
 * Client of discovery, which holds the list of all endpoints.
 *
 * <p>{@link merlinrouter.node.discovery.DiscoveryClient} watches the list. {@link
 * merlinrouter.node.discovery.EndpointStartTimes} converts the wall-clock times in it. All of it
 * runs on the node's event loop.
 */
package merlinrouter.node.discovery;
