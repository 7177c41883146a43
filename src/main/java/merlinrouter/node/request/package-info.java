/**
 * A client's request while it is open, between the client connection that it came on and the
 * attempts that forward it, and the last checks before it is forwarded or its connection is closed.
 */
package merlinrouter.node.request;
