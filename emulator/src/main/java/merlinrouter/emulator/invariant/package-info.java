/** Checks what was observed of a run's requests against the invariants of the service. */
package merlinrouter.emulator.invariant;
