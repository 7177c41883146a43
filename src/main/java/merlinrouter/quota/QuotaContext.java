package merlinrouter.quota;

import java.util.Set;
import java.util.SplittableRandom;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.time.EventClock;

/**
 * What the accounts of a gateway share.
 *
 * @param settings the gateway's settings
 * @param startedAtNanos when the gateway started
 * @param clock the time
 * @param random the gateway's source of randomness
 * @param calls the calls to the shared counter
 * @param listener is notified of decisions on admission
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
