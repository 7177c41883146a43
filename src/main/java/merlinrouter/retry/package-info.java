/**
 * Rules for retries and time limits: when a request may be attempted again, how long an attempt may
 * take, when a request can no longer meet its latency objective, and whether its final response may
 * state that a retry by the client is harmless.
 */
package merlinrouter.retry;
