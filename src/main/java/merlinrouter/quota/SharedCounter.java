package merlinrouter.quota;

/** The shared counter as the quota module uses it. */
@FunctionalInterface
public interface SharedCounter {
  /**
   * Starts a call that adds to a counter; its end is reported to {@link
   * QuotaManager#counterCallEnded}.
   *
   * @param counterKey names the counter
   * @param units units to add; negative to take back
   * @param timeToLiveNanos how long the counter lives from its first addition
   */
  void add(long counterKey, double units, long timeToLiveNanos);
}
