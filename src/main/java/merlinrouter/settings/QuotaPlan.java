package merlinrouter.settings;

/**
 * A plan of customers. Its limits hold for each customer over all gateways together.
 *
 * @param unitsPerSecond refill rate of the quota; 0 for no quota
 * @param burstUnits capacity of the quota's token bucket
 * @param maxConcurrentRequests most requests in flight; 0 for no limit
 * @param valueFactor factor on the value of a request
 * @param overQuotaValue part of the value that a request beyond the quota earns
 * @param overQuotaCost part of the value that forwarding a request beyond the quota costs
 * @param hardLimitUnitsPerSecond refill rate of the hard limit; 0 for no hard limit
 * @param hardLimitBurstUnits capacity of the hard limit's token bucket
 * @param hardLimitOverdraftUnits how far below zero that bucket may fall; read, not used
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
