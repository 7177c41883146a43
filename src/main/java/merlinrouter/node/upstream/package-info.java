/**
 * Forwarding of requests to endpoints: pooled HTTP/1.1 connections and the attempts on them.
 *
 * <p>{@link merlinrouter.node.upstream.UpstreamPool} is the entry point. All of it runs on the
 * node's event loop.
 */
package merlinrouter.node.upstream;
