/**
 * Requests that wait for an attempt: one queue for each request class, released by start-time fair
 * queueing, and shortened by shedding the least valuable requests where the wait would be too long.
 */
package merlinrouter.queue;
