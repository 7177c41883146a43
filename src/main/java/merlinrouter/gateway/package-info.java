/**
 * The gateway's decision core: takes events from its host, asks the modules for quota, queueing,
 * load balancing and retries, and requests actions. No I/O, no threads and no clock of its own.
 */
package merlinrouter.gateway;
