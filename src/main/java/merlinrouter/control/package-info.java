/**
 * The feedback control loops. One sets the shares of the request classes, using a model of
 * throughput and inverse latency that is fitted by recursive least squares; a slower one sets the
 * concurrency level. The method is that of "Non-intrusive Performance Management for Computer
 * Services" (Proteus).
 */
package merlinrouter.control;
