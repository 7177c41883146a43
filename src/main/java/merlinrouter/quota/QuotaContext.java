package merlinrouter.quota;

import java.util.Set;
import java.util.SplittableRandom;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.time.EventClock;

/**
 * Settings, services and state that all accounts of a gateway share.
 *
 * @param settings the gateway's settings
 * @param startedAtNanos when the gateway started
 * @param clock the time of the event that is being handled
 * @param random the gateway's random generator
 * @param calls tracks and limits the calls to the shared counter
 * @param listener listener for admission decisions
 * @param accountsToReport accounts with use that has not been reported to the counter
 */
record QuotaContext(
    GatewaySettings settings,
    long startedAtNanos,
    EventClock clock,
    SplittableRandom random,
    CounterCalls calls,
    AdmissionListener listener,
    Set<QuotaAccount> accountsToReport) {}
