package merlinrouter.emulator.invariant;

/**
 * An invariant that did not hold.
 *
 * @param invariant what was violated
 * @param evidence what was observed of the request
 * @param observer the observer whose measured time shows the violation: the id of an upstream
 *     server, or the name of the node whose client measured it; empty if the violation does not
 *     depend on a time
 * @param excessNanos by how much the time exceeded its limit; 0 if the violation does not depend on
 *     a time
 */
public record Violation(Invariant invariant, String evidence, String observer, long excessNanos) {
  /** Creates a violation that does not depend on the time of an observation. */
  static Violation untimed(Invariant invariant, String evidence) {
    return new Violation(invariant, evidence, "", 0);
  }

  /** Returns whether only the time of an observation shows the violation. */
  public boolean isTimed() {
    return excessNanos > 0;
  }

  /** Returns the same violation with more text in front of its evidence. */
  public Violation withEvidencePrefix(String prefix) {
    return new Violation(invariant, prefix + evidence, observer, excessNanos);
  }

  @Override
  public String toString() {
    return invariant + ": " + evidence;
  }
}
