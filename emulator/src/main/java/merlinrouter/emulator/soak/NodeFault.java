package merlinrouter.emulator.soak;

/**
 * A failure of a node process: in its start, in its shutdown, or a logged violation of an
 * invariant.
 *
 * @param nodeName the node; {@code fleet} if the first start of the nodes failed
 * @param description what was observed
 */
record NodeFault(String nodeName, String description) {
  @Override
  public String toString() {
    return nodeName + ": " + description;
  }
}
