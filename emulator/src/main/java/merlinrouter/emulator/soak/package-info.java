/**
 * The soak test: overlapping random faults in many nodes under steady traffic. A seed determines
 * the faults and the clients' choices, but not the timing of threads and processes.
 */
package merlinrouter.emulator.soak;
