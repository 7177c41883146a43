/**
 * The client side of the node: accepts connections, parses and validates requests, limits the
 * connections and memory that clients may use, and writes responses. {@link
 * merlinrouter.node.downstream.RequestHandler} is its interface to the rest of the node.
 *
 * <p>Unless its Javadoc says otherwise, everything here is used on the node's one event loop only,
 * times and durations are in nanoseconds, and times are those of {@link System#nanoTime}.
 */
package merlinrouter.node.downstream;
