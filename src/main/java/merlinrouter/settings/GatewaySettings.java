package merlinrouter.settings;

import java.util.List;

/**
 * The settings of a gateway, which hold from its start to its end.
 *
 * @param gatewayNumber its number, from 0
 * @param gatewayCount how many gateways the fleet has, at least 1
 * @param zone index of its zone
 * @param eventIntervalNanos events are delivered at most this often
 * @param weightsMeaningful whether the weights in the endpoint list mean anything
 * @param loadReportNames names of the values in a load report, in their order
 * @param requestClasses the request classes, by index
 * @param quotaPlans the quota plans, by index
 * @param limits what the deployment allows
 * @param counter the shared quota counter
 * @param rules limits that the service is judged by
 */
public record GatewaySettings(
    int gatewayNumber,
    int gatewayCount,
    int zone,
    long eventIntervalNanos,
    boolean weightsMeaningful,
    List<String> loadReportNames,
    List<RequestClass> requestClasses,
    List<QuotaPlan> quotaPlans,
    RequestLimits limits,
    CounterSettings counter,
    ServiceRules rules) {}
