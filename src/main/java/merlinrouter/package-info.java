/** The program: its commands, and the packages of the edge node and of the simulator's adapter. */
package merlinrouter;
