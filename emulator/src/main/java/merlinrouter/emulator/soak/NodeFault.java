package merlinrouter.emulator.soak;

/**
 * A node process that ended or started wrongly, or reported a violated invariant.
 *
 * @param nodeName the node
 * @param description what it did
 */
record NodeFault(String nodeName, String description) {
  @Override
  public String toString() {
    return nodeName + ": " + description;
  }
}
