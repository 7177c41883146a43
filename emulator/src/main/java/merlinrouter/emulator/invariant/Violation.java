package merlinrouter.emulator.invariant;

/**
 * An invariant that did not hold.
 *
 * @param invariant what was violated
 * @param evidence what was observed of the request
 * @param observer whose time shows the violation: an upstream server's id, or the name of the node
 *     whose client it was; empty if no time shows it
 * @param excessNanos by how much the time exceeded its limit; 0 if no time shows the violation
 */
public record Violation(Invariant invariant, String evidence, String observer, long excessNanos) {
  /** A violation that is one whenever the events were observed. */
  static Violation untimed(Invariant invariant, String evidence) {
    return new Violation(invariant, evidence, "", 0);
  }

  /** Whether it is shown by the time of an observation alone. */
  public boolean isTimed() {
    return excessNanos > 0;
  }

  /** The same violation with more evidence in front. */
  public Violation withEvidence(String more) {
    return new Violation(invariant, more + evidence, observer, excessNanos);
  }

  @Override
  public String toString() {
    return invariant + ": " + evidence;
  }
}
