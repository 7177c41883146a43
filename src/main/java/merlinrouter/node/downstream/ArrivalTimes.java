package merlinrouter.node.downstream;

import java.util.ArrayDeque;
import merlinrouter.time.Nanos;

/**
 * Records when the received but undecoded bytes of a connection arrived, because the timeout of a
 * pipelined request counts from its arrival. Byte offsets count from the connection's first byte.
 */
final class ArrivalTimes {
  /** A read less than this after the last recorded one is merged into it, and gets its time. */
  private static final long MERGE_INTERVAL_NANOS = 10 * Nanos.PER_MILLI;

  /** Maximum number of recorded reads; further ones are merged into the last. */
  private static final int MAX_READS = 64;

  /** One read, or several merged ones. */
  private static final class Read {
    private long endOffset;
    private final long arrivedNanos;

    Read(long endOffset, long arrivedNanos) {
      this.endOffset = endOffset;
      this.arrivedNanos = arrivedNanos;
    }
  }

  private final ArrayDeque<Read> reads = new ArrayDeque<>();
  private long receivedBytes;

  /** Records that bytes were read. */
  void add(int bytes, long arrivedNanos) {
    receivedBytes += bytes;
    Read last = reads.peekLast();
    boolean merge =
        last != null
            && (arrivedNanos - last.arrivedNanos < MERGE_INTERVAL_NANOS
                || reads.size() >= MAX_READS);
    if (merge) {
      last.endOffset = receivedBytes;
    } else {
      reads.add(new Read(receivedBytes, arrivedNanos));
    }
  }

  /**
   * Returns the earliest time at which the next byte to be decoded may have arrived. At least one
   * byte must be undecoded.
   */
  long nextByteArrivedNanos() {
    return reads.element().arrivedNanos;
  }

  /**
   * Removes the records of decoded bytes.
   *
   * @param undecodedBytes how many of the received bytes are not decoded yet
   */
  void removeDecoded(int undecodedBytes) {
    long decodedOffset = receivedBytes - undecodedBytes;
    while (!reads.isEmpty() && reads.element().endOffset <= decodedOffset) {
      reads.remove();
    }
  }
}
