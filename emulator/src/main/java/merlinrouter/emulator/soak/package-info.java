/**
 * The soak test: random faults that overlap, over many nodes with steady traffic. A seed determines
 * the faults and the clients' choices, but not the timing of threads and processes.
 */
package merlinrouter.emulator.soak;
