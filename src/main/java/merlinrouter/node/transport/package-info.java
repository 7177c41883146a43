/**
 * Channels and event-loop hooks that the node adds to Netty's NIO transport: they distinguish an
 * orderly end of input from an interrupted read and local failures from failures of a peer, and
 * measure event-loop stalls.
 */
package merlinrouter.node.transport;
