package merlinrouter.quota;

import java.util.ArrayList;
import java.util.Iterator;
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
 * Decides on the admission of requests according to their customers' quotas, and reports decisions
 * to an {@link AdmissionListener}. Not thread-safe.
 */
public final class QuotaManager {
  /**
   * The most accounts that are kept, some 350 bytes each, while more customers send requests than
   * are dropped as {@linkplain QuotaAccount#isDisposable disposable}.
   */
  private static final int MAX_ACCOUNTS = 32_768;

  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  /** The accounts by customer, the least recently used one first. */
  private final Map<Long, QuotaAccount> accounts =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  private final Set<QuotaAccount> accountsToReport = new LinkedHashSet<>();
  private final List<PlanUsage> usageByPlan = new ArrayList<>();
  private final CounterCalls calls;
  private final QuotaContext context;

  /**
   * Creates a manager without accounts.
   *
   * @param counter starts calls to the shared counter
   * @param log receives log lines for operators
   * @param random the gateway's random generator
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
   * Opens a reservation, which takes no units yet and must be released at the end of the request.
   * The customer's plan and number of gateways are taken from its first request.
   *
   * @param request a request whose plan exists
   * @param objectiveAtNanos latest moment at which a response earns the full value
   */
  public QuotaReservation open(
      ClientRequest request, RequestClass requestClass, long objectiveAtNanos) {
    QuotaAccount account = accounts.get(request.customer());
    if (account == null) {
      dropLeastRecentlyUsedIfFull();
      account = new QuotaAccount(context, request, usageByPlan.get(request.planIndex()));
      accounts.put(request.customer(), account);
    }
    account.requestOpened();
    return new QuotaReservation(account, request, requestClass, objectiveAtNanos);
  }

  /**
   * Drops the account that has been idle longest if the maximum number is reached, so that one
   * client with ever new customers cannot exhaust the memory. A customer that comes back later is
   * counted anew.
   */
  private void dropLeastRecentlyUsedIfFull() {
    if (accounts.size() < MAX_ACCOUNTS) {
      return;
    }
    Iterator<QuotaAccount> leastRecentFirst = accounts.values().iterator();
    while (leastRecentFirst.hasNext()) {
      QuotaAccount account = leastRecentFirst.next();
      if (account.isIdle()) {
        leastRecentFirst.remove();
        accountsToReport.remove(account);
        return;
      }
    }
  }

  /** Decides on a request or calls the counter first; notifies the listener in either case. */
  public void admit(QuotaReservation reservation) {
    reservation.account().admit(reservation);
  }

  /** Handles the end of a call to the counter; returns whether such a call was in flight. */
  public boolean counterCallEnded(long counterKey, Outcome outcome, double total) {
    CounterCall call = calls.remove(counterKey);
    if (call == null) {
      return false;
    }
    try {
      calls.recordEnd(call, outcome);
    } finally {
      call.account().callEnded(call, outcome, total);
    }
    return true;
  }

  /**
   * Decides on requests whose calls to the counter the host has not ended in time, as if the calls
   * had failed: each request must get a response.
   */
  public void decideOverdueAdmissions() {
    calls.forEachOverdue(call -> call.account().decideAfterCall(call, false));
  }

  /** Reports use to the counter for all accounts whose report is due and allowed. */
  public void reportUse() {
    for (QuotaAccount account : List.copyOf(accountsToReport)) {
      account.reportUse();
    }
  }

  /** Drops accounts that hold no more information than a new account would. */
  public void dropDisposableAccounts() {
    accounts.values().removeIf(QuotaAccount::isDisposable);
  }

  /** Returns the number of accounts that are kept. */
  public int accountCount() {
    return accounts.size();
  }
}
