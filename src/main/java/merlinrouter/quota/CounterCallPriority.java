package merlinrouter.quota;

import merlinrouter.settings.QuotaPlan;

/**
 * Priority of a call to the counter before a customer's request is admitted or rejected: the
 * expected cost of a wrong decision.
 */
final class CounterCallPriority {
  /** The rejection that a retry follows was based on a total that is still recent. */
  private static final double RETRY_FACTOR = 0.3;

  /** A total that probably only confirms a rejection changes no decision. */
  private static final double PROBABLY_EXHAUSTED_FACTOR = 0.1;

  private final QuotaPlan plan;
  private final double gatewayFraction;

  /**
   * Creates the priorities for a customer's requests.
   *
   * @param gateways number of gateways that receive the customer's requests: the more there are,
   *     the less this gateway's traffic indicates the customer's total use
   * @param gatewayCount number of gateways in the fleet
   */
  CounterCallPriority(QuotaPlan plan, int gateways, int gatewayCount) {
    this.plan = plan;
    gatewayFraction = gateways / (double) gatewayCount;
  }

  /**
   * Returns the priority of a call for a request.
   *
   * @param probablyExhausted whether the quota is exhausted according to the estimate
   */
  double of(QuotaReservation reservation, boolean probablyExhausted) {
    return reservation.requestClass().priorityWeight()
        * plan.valueFactor()
        * plan.overQuotaCost()
        * reservation.units()
        * gatewayFraction
        * (reservation.request().retry() ? RETRY_FACTOR : 1)
        * (probablyExhausted ? PROBABLY_EXHAUSTED_FACTOR : 1);
  }
}
