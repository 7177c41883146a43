/**
 * The edge node: hosts a gateway and connects it with clients, endpoints, discovery and the quota
 * counter, on one event loop. Of its subpackages, only those for the warm-up and for the life cycle
 * of the process depend on it.
 */
package merlinrouter.node;
