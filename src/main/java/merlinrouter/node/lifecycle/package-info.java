/** The life cycle of a node's process: warm-up, start, reload on SIGHUP and shutdown on SIGTERM. */
package merlinrouter.node.lifecycle;
