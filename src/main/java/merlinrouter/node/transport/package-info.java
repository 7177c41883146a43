/**
 * Channels and event-loop hooks that the node adds to Netty's NIO transport: an orderly end of
 * input is distinguished from an interrupted read, and local failures from those of a peer.
 */
package merlinrouter.node.transport;
