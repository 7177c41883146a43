/**
 * Client of discovery, which publishes the list of all endpoints.
 *
 * <p>{@link merlinrouter.node.discovery.DiscoveryClient} watches the list. {@link
 * merlinrouter.node.discovery.EndpointStartTimes} converts the endpoints' start times from the wall
 * clock to the node's monotonic clock. Updates are handled on the node's event loop.
 */
package merlinrouter.node.discovery;
