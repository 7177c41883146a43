/**
 * Quotas of customers, held over the whole fleet: a gateway estimates what the others let in from
 * the totals of a shared counter, reports its own use to it, and divides the quota among the
 * gateways where the totals are too old. A hard limit is always divided.
 */
package merlinrouter.quota;
