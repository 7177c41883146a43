/**
 * The real edge node: hosts a gateway's decisions between client connections, endpoints, discovery
 * and the quota counter, on one event loop. Its subpackages do not depend on it.
 */
package merlinrouter.node;
