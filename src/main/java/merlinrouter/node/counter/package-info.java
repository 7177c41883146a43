/**
 * Client of the shared counter, which totals the quota use of all nodes.
 *
 * <p>{@link merlinrouter.node.counter.CounterClient} is the entry point. Calls are made, and their
 * results handled, on the node's event loop.
 */
package merlinrouter.node.counter;
