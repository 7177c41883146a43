/** Checks what was observed of a run's requests against the service's invariants. */
package merlinrouter.emulator.invariant;
