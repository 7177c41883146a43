/** Measurements of request classes that the decision modules share. */
package merlinrouter.stats;
