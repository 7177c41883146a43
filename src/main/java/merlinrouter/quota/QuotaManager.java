package merlinrouter.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.EventClock;

/**
 * Decides on the admission of requests by their customers' quotas. Used by one thread; decisions
 * are reported to an {@link AdmissionListener}.
 */
public final class QuotaManager {
  private final Map<Long, QuotaAccount> accounts = new LinkedHashMap<>();
  private final Set<QuotaAccount> accountsToReport = new LinkedHashSet<>();
  private final List<PlanUsage> usageByPlan = new ArrayList<>();
  private final CounterCalls calls;
  private final QuotaContext context;

  /**
   * Creates a manager without accounts.
   *
   * @param counter makes calls to the shared counter
   * @param log takes lines for operators
   * @param random the gateway's source of randomness
   */
  public QuotaManager(
      GatewaySettings settings,
      AdmissionListener listener,
      SharedCounter counter,
      Consumer<String> log,
      EventClock clock,
      SplittableRandom random) {
    calls = new CounterCalls(settings, counter, log, clock, random);
    context =
        new QuotaContext(
            settings, clock.nowNanos(), clock, random, calls, listener, accountsToReport);
    for (int i = 0; i < settings.quotaPlans().size(); i++) {
      usageByPlan.add(new PlanUsage(settings.counter().maxRequestUnits()));
    }
  }

  /**
   * Opens a reservation, which takes nothing yet and has to be released at the request's end. The
   * customer's plan and number of gateways are taken from the first request that is seen.
   *
   * @param request a request whose plan exists
   * @param objectiveAtNanos moment up to which a response earns the full value
   */
  public QuotaReservation open(
      ClientRequest request, RequestClass requestClass, long objectiveAtNanos) {
    QuotaAccount account = accounts.get(request.customer());
    if (account == null) {
      account = new QuotaAccount(context, request, usageByPlan.get(request.planIndex()));
      accounts.put(request.customer(), account);
    }
    account.requestOpened();
    return new QuotaReservation(account, request, requestClass, objectiveAtNanos);
  }

  /** Decides on a request, or calls the counter first; the listener is notified in either case. */
  public void admit(QuotaReservation reservation) {
    reservation.account().admit(reservation);
  }

  /** Handles the end of a call to the counter; returns whether such a call was under way. */
  public boolean counterCallEnded(long counterKey, Outcome outcome, double total) {
    CounterCall call = calls.end(counterKey, outcome);
    if (call == null) {
      return false;
    }
    call.account().callEnded(call, outcome, total);
    return true;
  }

  /** Decides without an answer where a host never ended a call: each request is owed a response. */
  public void decideOverdueAdmissions() {
    calls.forEachOverdue(call -> call.account().decideAfterCall(call, false));
  }

  /** Reports use to the counter, as far as reports are due and calls may be made. */
  public void reportUse() {
    for (QuotaAccount account : List.copyOf(accountsToReport)) {
      account.reportUse();
    }
  }

  /** Drops accounts that a new account would equal. */
  public void dropDisposableAccounts() {
    accounts.values().removeIf(QuotaAccount::isDisposable);
  }

  /** How many accounts are kept. */
  public int accountCount() {
    return accounts.size();
  }
}
