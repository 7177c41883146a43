/** Statistics of request classes, shared by the decision modules. */
package merlinrouter.stats;
