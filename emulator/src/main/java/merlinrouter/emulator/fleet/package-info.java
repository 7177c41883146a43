/**
 * Real edge node processes: their configuration, start and signals, and the faults that a preloaded
 * library injects into their system calls and wall clocks.
 */
package merlinrouter.emulator.fleet;
