/**
 * Queues of requests that wait for their first attempt, one for each request class. Start-time fair
 * queueing releases the requests; the least valuable ones are shed if the wait would be too long.
 */
package merlinrouter.queue;
