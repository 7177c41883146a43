package merlinrouter.node.counter;

import java.math.BigDecimal;
import java.util.concurrent.TimeUnit;

/** Names in the HTTP requests that the node sends to the counter. */
public final class CounterProtocol {
  /** Value of the Host header of every call. */
  static final String HOST = "counter";

  /** Prefix of the path of every call; the counter's key follows. */
  public static final String COUNTER_PATH = "/tally/";

  private static final String AMOUNT_PARAMETER = "?n=";
  private static final String TIME_TO_LIVE_MILLIS_PARAMETER = "&keep_ms=";
  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private CounterProtocol() {}

  /**
   * Returns the URI of a call that adds an amount to a counter.
   *
   * @param counterKey key of the counter
   * @param amount units to add; a negative amount is subtracted
   * @param timeToLiveNanos how long the counter is kept; rounded up to whole milliseconds, at least
   *     1 ms
   */
  static String additionUri(long counterKey, double amount, long timeToLiveNanos) {
    long timeToLiveMillis = (timeToLiveNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    return COUNTER_PATH
        + Long.toUnsignedString(counterKey)
        + AMOUNT_PARAMETER
        + BigDecimal.valueOf(amount).toPlainString()
        + TIME_TO_LIVE_MILLIS_PARAMETER
        + Math.max(1, timeToLiveMillis);
  }
}
