package merlinrouter.emulator.invariant;

import java.util.concurrent.TimeUnit;

/**
 * How late the drains of upstream servers took effect in a run.
 *
 * @param drains the number of servers that started to drain
 * @param maxDelayNanos the longest time from the moment from which discovery could deliver a drain
 *     to an attempt that the draining server received; 0 without any
 * @param endpointId the server of this attempt; empty without any
 * @param limitNanos the limit on this time
 */
public record DrainDelay(int drains, long maxDelayNanos, String endpointId, long limitNanos) {
  @Override
  public String toString() {
    return String.format(
        "%d, the last attempt %d ms after discovery could deliver a drain%s, limit %d ms",
        drains,
        TimeUnit.NANOSECONDS.toMillis(maxDelayNanos),
        endpointId.isEmpty() ? "" : " (" + endpointId + ")",
        TimeUnit.NANOSECONDS.toMillis(limitNanos));
  }
}
