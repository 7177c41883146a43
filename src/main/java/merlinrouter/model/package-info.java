/**
 * Values of the contract between a gateway's decisions and its host: endpoints, requests, attempts
 * and their outcomes.
 *
 * <p>All moments are nanoseconds of one monotonic clock with an arbitrary origin; all durations are
 * nanoseconds.
 */
package merlinrouter.model;
