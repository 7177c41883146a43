package merlinrouter.quota;

/** Starts calls to the shared quota counter. */
@FunctionalInterface
public interface SharedCounter {
  /**
   * Starts a call that adds units to the total of a key; the end of the call is reported to {@link
   * QuotaManager#counterCallEnded}.
   *
   * @param counterKey identifies the total
   * @param units units to add; negative units reduce the total
   * @param timeToLiveNanos how long the total is kept after its first addition
   */
  void add(long counterKey, double units, long timeToLiveNanos);
}
