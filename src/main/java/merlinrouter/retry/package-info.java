/**
 * When a request may be attempted again, how long an attempt may take, when a request cannot meet
 * its latency objective any more, and what its final response may promise.
 */
package merlinrouter.retry;
