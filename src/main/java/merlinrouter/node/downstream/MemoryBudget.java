package merlinrouter.node.downstream;

/**
 * Limits the bytes held by the requests of all connections together: the limits per connection
 * alone would not keep a thousand connections from exhausting the memory.
 */
public final class MemoryBudget {
  /**
   * Requests up to this size, header lines included, may also use the last quarter of the budget. A
   * third of 1,024 connections fit it with one such request each.
   */
  private static final int SMALL_REQUEST_BYTES = 6 * 1024;

  private static final int RESERVED_DIVISOR = 4;

  private static final int MEMORY_DIVISOR = 16;
  private static final long MIN_BUDGET_BYTES = 1L << 20;
  private static final long MAX_BUDGET_BYTES = 8L << 20;

  private final long maxBytes;
  private long usedBytes;

  /**
   * Creates a budget of a sixteenth of the memory, within bounds.
   *
   * @param memoryBytes memory that the process may use
   */
  public MemoryBudget(long memoryBytes) {
    maxBytes = Math.max(MIN_BUDGET_BYTES, Math.min(MAX_BUDGET_BYTES, memoryBytes / MEMORY_DIVISOR));
  }

  /**
   * Returns whether a request may grow further. Its size only decides whether it counts as small;
   * it is not added to the used bytes, so that the budget may be exceeded by one request.
   *
   * @param requestBytes bytes that the request holds, or will hold
   */
  public boolean allows(long requestBytes) {
    return requestBytes > SMALL_REQUEST_BYTES ? allowsReadingAhead() : usedBytes < maxBytes;
  }

  /**
   * Returns whether more bytes may be read behind a request that is open. They never use the last
   * quarter of the budget, since they can wait unread.
   */
  public boolean allowsReadingAhead() {
    return usedBytes < maxBytes / RESERVED_DIVISOR * (RESERVED_DIVISOR - 1);
  }

  /** Records that bytes are now held or, if negative, released. */
  public void change(long deltaBytes) {
    usedBytes += deltaBytes;
  }

  /** Returns how many bytes are held. */
  public long usedBytes() {
    return usedBytes;
  }
}
