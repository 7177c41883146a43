/**
 * What a node measures of itself: {@link merlinrouter.node.monitoring.EventLoopMonitor} the stalls
 * of its event loop, {@link merlinrouter.node.monitoring.ResponseTimes} how much time its final
 * responses left to their clients.
 */
package merlinrouter.node.monitoring;
