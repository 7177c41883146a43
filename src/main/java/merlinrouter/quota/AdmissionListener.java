package merlinrouter.quota;

/**
 * Listener for admission decisions. A method may be called before the call that requested the
 * decision, such as {@link QuotaManager#admit}, has returned.
 */
public interface AdmissionListener {
  /** Called when the request is admitted and may be queued. */
  void admitted(QuotaReservation reservation);

  /**
   * Called when the request must be rejected.
   *
   * @param retryAfterSeconds estimated time until the units of the request are available
   */
  void rejected(QuotaReservation reservation, double retryAfterSeconds);

  /** Called when the decision waits for the counter; another method is called later. */
  void deferred(QuotaReservation reservation);

  /**
   * Called when the call to the counter has ended, or is overdue, for a request whose client has
   * disconnected.
   */
  void abandoned(QuotaReservation reservation);
}
