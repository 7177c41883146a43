/**
 * A node's measurements of itself: {@link merlinrouter.node.monitoring.EventLoopMonitor} measures
 * the stalls of its event loop, {@link merlinrouter.node.monitoring.ResponseTimes} the time left
 * until the clients' deadlines when the final responses are written.
 */
package merlinrouter.node.monitoring;
