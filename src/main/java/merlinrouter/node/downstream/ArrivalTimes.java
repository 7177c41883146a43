package merlinrouter.node.downstream;

import java.util.ArrayDeque;
import merlinrouter.time.Nanos;

/**
 * Remembers when the bytes of a connection that wait to be decoded arrived: time passes for a
 * pipelined request too. Byte offsets count from the connection's first byte.
 */
final class ArrivalTimes {
  /** Reads closer together than this count as one, which arrived at its earliest moment. */
  private static final long MERGE_INTERVAL_NANOS = 10 * Nanos.PER_MILLI;

  /** Further reads are merged into the last one. */
  private static final int MAX_READS = 64;

  /** A read, or several merged ones. */
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

  /** Adds bytes that were read. */
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
   * The earliest moment at which the next byte to be decoded may have arrived. At least one byte
   * must be waiting.
   */
  long nextByteArrivedNanos() {
    return reads.element().arrivedNanos;
  }

  /**
   * Forgets bytes that were decoded.
   *
   * @param waitingBytes how many of the received bytes still wait
   */
  void decodedUpTo(int waitingBytes) {
    long decodedOffset = receivedBytes - waitingBytes;
    while (!reads.isEmpty() && reads.element().endOffset <= decodedOffset) {
      reads.remove();
    }
  }
}
