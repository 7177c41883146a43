/**
 * The client side of the node: accepts connections, parses and validates requests, limits what
 * clients may hold, and writes responses. {@link merlinrouter.node.downstream.RequestHandler} is
 * what it needs of the node behind it.
 *
 * <p>Unless its Javadoc says otherwise, everything here is used on the node's one event loop only,
 * moments and durations are in nanoseconds, and moments are those of {@link System#nanoTime}.
 */
package merlinrouter.node.downstream;
