/**
 * Load balancing: statistics of endpoints and their groups, sampling and scoring of candidates,
 * slow start, outliers and load reports.
 */
package merlinrouter.loadbalancing;
