package merlinrouter.node.counter;

import java.math.BigDecimal;
import java.util.concurrent.TimeUnit;

/** Names on the wire between the node and the counter. */
public final class CounterProtocol {
  /** The host that calls are for. */
  static final String HOST = "counter";

  /** Start of the path of every call. */
  public static final String COUNTER_PATH = "/tally/";

  private static final String AMOUNT_PARAMETER = "?n=";
  private static final String TIME_TO_LIVE_MILLIS_PARAMETER = "&keep_ms=";
  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private CounterProtocol() {}

  /**
   * Returns the URI of an addition.
   *
   * @param counterKey names the counter
   * @param amount units to add; negative to take back
   * @param timeToLiveNanos how long the counter lives; rounded up to a millisecond
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
