/**
 * The node's output: {@link merlinrouter.node.logging.NodeLog} on standard output, {@link
 * merlinrouter.node.logging.ErrorLog} and libraries' warnings on the standard error stream.
 */
package merlinrouter.node.logging;
