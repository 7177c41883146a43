/**
 * The feedback loops: shares of the request classes fitted to throughput and inverse latency by
 * recursive least squares, and a slower loop for the concurrency level. The method is that of
 * "Non-intrusive Performance Management for Computer Services" (Proteus).
 */
package merlinrouter.control;
