/**
 * Client of the shared counter that adds up the quota use of all nodes.
 *
 * <p>{@link merlinrouter.node.counter.CounterClient} is the entry point. All of it runs on the
 * node's event loop.
 */
package merlinrouter.node.counter;
