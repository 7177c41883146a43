/**
 * Entry point of merlinrouter; the subpackages contain the gateway's decisions, the edge node and
 * the simulator's adapter.
 */
package merlinrouter;
