/**
 * The decision core of a gateway: handles the events of its host with the modules for quotas,
 * queueing, load balancing and retries, and requests actions. It performs no I/O and has neither
 * threads nor a clock of its own.
 */
package merlinrouter.gateway;
