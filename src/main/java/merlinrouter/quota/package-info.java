/**
 * Quotas of customers over the whole fleet: a gateway estimates the use of the others from the
 * totals of a shared counter, reports its own use to the counter, and divides the quota among the
 * gateways while the totals are outdated. A hard limit is always divided.
 */
package merlinrouter.quota;
