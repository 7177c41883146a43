package merlinrouter.quota;

/** Hears what becomes of requests for admission; may be called from within a call to the module. */
public interface AdmissionListener {
  /** The request may be queued. */
  void admitted(QuotaReservation reservation);

  /** The request has to be rejected; its quota will be available after some seconds. */
  void rejected(QuotaReservation reservation, double retryAfterSeconds);

  /** The decision waits for the counter; one of the other methods is called later. */
  void deferred(QuotaReservation reservation);

  /** The counter has answered for a request that was abandoned meanwhile. */
  void abandoned(QuotaReservation reservation);
}
