package merlinrouter.quota;

/**
 * A call to the shared counter that has not ended.
 *
 * @param account the customer whose use it reports
 * @param window number of the counter's window that it adds to
 * @param units the units that it adds
 * @param reservation the request whose admission waits for it; null if none does
 * @param startedAtNanos when it was made
 */
record CounterCall(
    QuotaAccount account,
    long window,
    double units,
    QuotaReservation reservation,
    long startedAtNanos) {}
