/** The clock, time units and control intervals of the decision modules. */
package merlinrouter.time;
