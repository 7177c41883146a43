package merlinrouter.quota;

/** Is notified of decisions on admission, possibly from within the call that asked for one. */
public interface AdmissionListener {
  /** The request may be queued. */
  void admitted(QuotaReservation reservation);

  /** The request has to be rejected; its quota will be available after some seconds. */
  void rejected(QuotaReservation reservation, double retryAfterSeconds);

  /** The decision waits for the counter; one of the other methods is called later. */
  void deferred(QuotaReservation reservation);

  /** The counter has answered for a request whose client has disconnected. */
  void abandoned(QuotaReservation reservation);
}
