/**
 * The choice of an endpoint for an attempt: statistics of endpoints and their groups, sampling and
 * scoring of candidates, slow start, outliers and load reports.
 */
package merlinrouter.loadbalancing;
