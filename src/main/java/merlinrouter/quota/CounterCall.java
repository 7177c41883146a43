package merlinrouter.quota;

/**
 * A call to the shared counter that is in flight.
 *
 * @param account the account of the customer whose use is reported
 * @param window number of the counter's window to which the units are added
 * @param units the units that are added
 * @param reservation the request whose admission waits for the call; null for a report only
 * @param startedAtNanos when the call was started
 */
record CounterCall(
    QuotaAccount account,
    long window,
    double units,
    QuotaReservation reservation,
    long startedAtNanos) {}
