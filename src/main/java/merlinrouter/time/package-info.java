/** The clock and the time units of the decision modules. */
package merlinrouter.time;
