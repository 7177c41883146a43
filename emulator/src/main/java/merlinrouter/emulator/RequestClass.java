package merlinrouter.emulator;

/** The classes of the configuration's template. */
enum RequestClass {
  /** Safe to repeat. */
  LOOKUP("lookup", "GET"),
  /** Carries a key; a repeat within its window is dropped by the servers. */
  ORDER("order", "POST"),
  /** Must never run twice. */
  TRANSFER("transfer", "POST");

  private final String wireName;
  private final String method;

  RequestClass(String wireName, String method) {
    this.wireName = wireName;
    this.method = method;
  }

  String wireName() {
    return wireName;
  }

  String method() {
    return method;
  }
}
