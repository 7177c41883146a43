package merlinrouter.quota;

import merlinrouter.settings.QuotaPlan;

/**
 * Priority of a call to the counter before a decision on a customer's request: what a wrong
 * decision would cost.
 */
final class CounterCallPriority {
  /** The rejection before a retry rested on a total that is still recent. */
  private static final double RETRY_FACTOR = 0.3;

  /** A total that probably confirms a rejection changes no decision. */
  private static final double PROBABLY_EXHAUSTED_FACTOR = 0.1;

  private final QuotaPlan plan;
  private final double gatewayFraction;

  /**
   * Creates the priorities of a customer.
   *
   * @param gateways how many gateways the customer's requests come through: the more, the less this
   *     gateway's traffic says of the customer's
   * @param gatewayCount how many gateways the fleet has
   */
  CounterCallPriority(QuotaPlan plan, int gateways, int gatewayCount) {
    this.plan = plan;
    gatewayFraction = gateways / (double) gatewayCount;
  }

  /**
   * The priority for a request.
   *
   * @param probablyExhausted whether the estimate says that the quota is used up
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
