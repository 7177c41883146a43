package merlinrouter.emulator.request;

/** A request class of the nodes' configuration, {@code node.json}. */
public enum RequestClass {
  /** May be executed any number of times. */
  IDEMPOTENT("lookup", "GET"),
  /** Carries an idempotency key, by which upstream servers drop duplicates for a limited time. */
  IDEMPOTENCY_KEY("order", "POST"),
  /** Must never be executed twice. */
  NON_IDEMPOTENT("transfer", "POST");

  private final String configuredName;
  private final String method;

  RequestClass(String configuredName, String method) {
    this.configuredName = configuredName;
    this.method = method;
  }

  /** Returns the class's name in the configuration and on the wire. */
  public String configuredName() {
    return configuredName;
  }

  /** Returns the HTTP method of its requests. */
  public String method() {
    return method;
  }

  /** Returns whether its requests have a body. */
  public boolean hasBody() {
    return this != IDEMPOTENT;
  }
}
