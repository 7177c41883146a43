package merlinrouter.emulator.invariant;

/**
 * An invariant that did not hold.
 *
 * @param invariant what was violated
 * @param evidence what was observed of the request
 */
public record Violation(Invariant invariant, String evidence) {
  @Override
  public String toString() {
    return invariant + ": " + evidence;
  }
}
