package merlinrouter.node.downstream;

/**
 * Limits the bytes that requests hold over all connections together: the limits of each connection
 * alone would not keep a thousand of them from exhausting the memory.
 */
public final class MemoryBudget {
  /** Requests up to this size, which most are, may also use the last quarter of the budget. */
  private static final int SMALL_REQUEST_BYTES = 4 * 1024;

  private static final int RESERVED_DIVISOR = 4;

  private static final int MEMORY_DIVISOR = 16;
  private static final long MIN_BUDGET_BYTES = 1L << 20;
  private static final long MAX_BUDGET_BYTES = 8L << 20;

  private final long maxBytes;
  private long usedBytes;

  /**
   * Creates a budget of a sixteenth of the memory, within bounds.
   *
   * @param memoryBytes what the process may use
   */
  public MemoryBudget(long memoryBytes) {
    maxBytes = Math.max(MIN_BUDGET_BYTES, Math.min(MAX_BUDGET_BYTES, memoryBytes / MEMORY_DIVISOR));
  }

  /**
   * Whether a request that holds, or will hold, some bytes may go on growing. The bytes decide only
   * whether it counts as small; they are not added, so that the budget may be exceeded by one
   * request.
   */
  public boolean allows(long requestBytes) {
    long limit =
        requestBytes > SMALL_REQUEST_BYTES
            ? maxBytes / RESERVED_DIVISOR * (RESERVED_DIVISOR - 1)
            : maxBytes;
    return usedBytes < limit;
  }

  /** Adds bytes that are now held, or, if negative, released. */
  public void change(long deltaBytes) {
    usedBytes += deltaBytes;
  }

  /** How many bytes are held. */
  public long usedBytes() {
    return usedBytes;
  }
}
