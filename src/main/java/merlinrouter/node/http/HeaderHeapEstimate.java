package merlinrouter.node.http;

/**
 * Estimates the heap that the decoded header lines of one message occupy. Short lines take many
 * times their own bytes, because each becomes several objects. Not thread-safe.
 */
public final class HeaderHeapEstimate {
  /** The entry, the name and the value of one line, without their characters. */
  private static final int OBJECT_BYTES_PER_LINE = 144;

  private int lines;
  private int characterBytes;

  /** Records that a header line was decoded. */
  public void addLine() {
    lines++;
  }

  /** Records that the decoder has consumed bytes of start lines and header lines. */
  public void addBytes(int bytes) {
    characterBytes += bytes;
  }

  /** Returns how many header lines were recorded since the last {@link #reset}. */
  public int lines() {
    return lines;
  }

  /** Returns the estimated size in bytes of everything recorded since the last {@link #reset}. */
  public int bytes() {
    return lines * OBJECT_BYTES_PER_LINE + characterBytes;
  }

  /** Records that the header lines are not held any more. */
  public void reset() {
    lines = 0;
    characterBytes = 0;
  }
}
