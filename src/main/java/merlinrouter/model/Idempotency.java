package merlinrouter.model;

/** How often a request of a class may take effect. */
public enum Idempotency {
  /** May be executed any number of times. */
  IDEMPOTENT,
  /**
   * Carries an idempotency key, by which the endpoints of a scope drop duplicates for some time.
   */
  IDEMPOTENCY_KEY,
  /** Must never be executed twice. */
  NON_IDEMPOTENT
}
