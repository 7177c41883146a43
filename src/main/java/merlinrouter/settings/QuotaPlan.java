package merlinrouter.settings;

/**
 * Limits and prices that apply to the customers of a plan. Each limit applies to one customer,
 * summed over all gateways.
 *
 * @param unitsPerSecond refill rate of the quota; 0 for no quota
 * @param burstUnits capacity of the quota's token bucket
 * @param maxConcurrentRequests maximum number of requests in flight; 0 for no limit
 * @param valueFactor factor applied to the value of a request
 * @param overQuotaValue fraction of its value that a request over quota earns
 * @param overQuotaCost fraction of its value that forwarding a request over quota costs
 * @param hardLimitUnitsPerSecond refill rate of the hard limit; 0 for no hard limit
 * @param hardLimitBurstUnits capacity of the hard limit's token bucket
 * @param hardLimitOverdraftUnits how far the hard limit's bucket may fall below zero; read, not
 *     used
 */
public record QuotaPlan(
    double unitsPerSecond,
    double burstUnits,
    int maxConcurrentRequests,
    double valueFactor,
    double overQuotaValue,
    double overQuotaCost,
    double hardLimitUnitsPerSecond,
    double hardLimitBurstUnits,
    double hardLimitOverdraftUnits) {}
