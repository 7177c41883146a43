package merlinrouter.settings;

import java.util.List;

/**
 * The settings of a gateway; they do not change during its lifetime.
 *
 * @param gatewayNumber its number, from 0
 * @param gatewayCount number of gateways in the fleet, at least 1
 * @param zone index of its zone
 * @param eventIntervalNanos minimum interval at which events are delivered
 * @param weightsMeaningful whether the weights in the endpoint list reflect capacity
 * @param loadReportNames names of the values in a load report, in their order
 * @param requestClasses the request classes, by index
 * @param quotaPlans the quota plans, by index
 * @param limits limits and capabilities of the deployment
 * @param counter settings of the shared quota counter
 * @param rules rules by which the service is evaluated
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
