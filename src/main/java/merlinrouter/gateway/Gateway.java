package merlinrouter.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import merlinrouter.control.ConcurrencyController;
import merlinrouter.control.ShareController;
import merlinrouter.loadbalancing.LoadBalancer;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import merlinrouter.queue.ClassQueue;
import merlinrouter.queue.FairQueue;
import merlinrouter.quota.AdmissionListener;
import merlinrouter.quota.QuotaManager;
import merlinrouter.quota.QuotaReservation;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.RequestClass;
import merlinrouter.stats.ClassStatistics;
import merlinrouter.time.EventClock;
import merlinrouter.time.FixedIntervals;
import merlinrouter.time.Nanos;

/**
 * Makes the decisions of one gateway: handles the events of its host with the modules for quotas,
 * queueing, load balancing and retries, and requests actions from the host. Each request gets
 * exactly one final response unless its client disconnects first. Used by one thread.
 */
public final class Gateway implements GatewayEvents {
  /** Interval between expiry checks of queued requests; short compared with latency objectives. */
  private static final long TIMER_INTERVAL_NANOS = 10 * Nanos.PER_MILLI;

  private static final long CONTROL_INTERVAL_NANOS = Nanos.PER_SECOND;

  /** Token of the only timer of a gateway. */
  private static final long TIMER_TOKEN = 0;

  private final GatewaySettings settings;
  private final GatewayActions actions;
  private final EventClock clock;
  private final List<ClassStatistics> classStatistics = new ArrayList<>();
  private final QuotaManager quotas;
  private final FairQueue<PendingRequest> fairQueue;
  private final ShareController shareController;
  private final ConcurrencyController concurrencyController;
  private final LoadBalancer loadBalancer;
  private final RequestDispatcher dispatcher;
  private final FixedIntervals controlIntervals;

  /**
   * Creates a gateway, schedules its timer and, if the settings require it, subscribes to the
   * endpoint list.
   *
   * @param seed seed of the only source of randomness
   * @param nowNanos the monotonic time, in nanoseconds
   * @param actions performs the actions that the gateway requests
   */
  public Gateway(GatewaySettings settings, long seed, long nowNanos, GatewayActions actions) {
    this.settings = settings;
    this.actions = actions;
    clock = new EventClock(nowNanos);
    SplittableRandom random = new SplittableRandom(seed);
    for (RequestClass requestClass : settings.requestClasses()) {
      classStatistics.add(new ClassStatistics(requestClass));
    }
    quotas =
        new QuotaManager(
            settings, new AdmissionHandler(), actions::addToCounter, actions::log, clock, random);
    shareController = new ShareController(classStatistics);
    concurrencyController = new ConcurrencyController(classStatistics, settings.gatewayCount());
    fairQueue = new FairQueue<>(classStatistics);
    fairQueue.setShares(shareController.shares());
    loadBalancer = new LoadBalancer(settings, actions::log, clock, random);
    dispatcher =
        new RequestDispatcher(
            settings,
            actions,
            clock,
            fairQueue,
            concurrencyController,
            loadBalancer,
            TIMER_INTERVAL_NANOS);
    controlIntervals = new FixedIntervals(nowNanos, CONTROL_INTERVAL_NANOS);
    actions.scheduleTimer(TIMER_TOKEN, TIMER_INTERVAL_NANOS);
    if (settings.limits().endpointSubscription()) {
      actions.subscribeToEndpoints();
    }
  }

  @Override
  public void endpointsUpdated(long nowNanos, EndpointUpdateType type, List<Endpoint> endpoints) {
    clock.advanceTo(nowNanos);
    if (type == EndpointUpdateType.FAILED) {
      actions.subscribeToEndpoints();
    }
    loadBalancer.updateEndpoints(type, endpoints);
    concurrencyController.endpointCountChanged(loadBalancer.readyCount());
    dispatcher.dispatchQueued();
  }

  @Override
  public void requestReceived(long nowNanos, ClientRequest request) {
    clock.advanceTo(nowNanos);
    if (!isKnownClassAndPlan(request)) {
      actions.reject(request.id(), 0);
      return;
    }
    PendingRequest existing = dispatcher.get(request.id());
    if (existing != null) {
      dispatcher.endDuplicate(existing);
      return;
    }
    PendingRequest pending = open(request);
    if (dispatcher.cannotMeetObjective(pending)) {
      // The request may have so little time left that the next expiry check would be too late.
      dispatcher.giveUp(pending);
    } else {
      quotas.admit(pending.reservation());
    }
    dispatcher.dispatchQueued();
  }

  private boolean isKnownClassAndPlan(ClientRequest request) {
    return request.classIndex() >= 0
        && request.classIndex() < classStatistics.size()
        && request.planIndex() >= 0
        && request.planIndex() < settings.quotaPlans().size();
  }

  private PendingRequest open(ClientRequest request) {
    ClassQueue<PendingRequest> queue = fairQueue.queues().get(request.classIndex());
    queue.statistics().recordArrival();
    RequestClass requestClass = queue.statistics().requestClass();
    long objectiveAtNanos =
        PendingRequest.objectiveAtNanos(request, requestClass, clock.nowNanos());
    QuotaReservation reservation = quotas.open(request, requestClass, objectiveAtNanos);
    PendingRequest pending =
        new PendingRequest(request, queue, reservation, clock.nowNanos(), fairQueue.virtualTime());
    dispatcher.add(pending);
    return pending;
  }

  @Override
  public void attemptEnded(long nowNanos, AttemptResult result) {
    clock.advanceTo(nowNanos);
    PendingRequest pending = dispatcher.get(result.requestId());
    if (pending == null || !pending.hasAttemptInFlight()) {
      return;
    }
    dispatcher.completeAttempt(pending, result);
    dispatcher.dispatchQueued();
  }

  @Override
  public void responseStarted(long nowNanos, String requestId) {
    clock.advanceTo(nowNanos);
  }

  @Override
  public void clientDisconnected(long nowNanos, String requestId) {
    clock.advanceTo(nowNanos);
    PendingRequest pending = dispatcher.get(requestId);
    if (pending == null) {
      return;
    }
    switch (pending.state()) {
      case AWAITING_COUNTER -> pending.abandonAwaitingCounter();
      case IN_FLIGHT -> pending.transitionTo(RequestState.ABANDONED_IN_FLIGHT);
      case QUEUED -> {
        pending.queue().remove(pending);
        dispatcher.close(pending);
      }
      default -> {
        // The client had disconnected already: the end of the attempt or counter call closes it.
      }
    }
  }

  /**
   * Stops tracking a request that the host has ended itself, for example because an event of it
   * threw an exception, and releases what it holds: its quota, its slot among the customer's
   * requests and its place in the queue. Does nothing if it is not tracked.
   *
   * @param attemptInFlight whether the end of an attempt is still to be reported
   */
  public void discard(long nowNanos, String requestId, boolean attemptInFlight) {
    clock.advanceTo(nowNanos);
    PendingRequest pending = dispatcher.get(requestId);
    if (pending == null) {
      return;
    }
    if (attemptInFlight) {
      clientDisconnected(nowNanos, requestId);
    } else {
      dispatcher.discard(pending);
    }
    dispatcher.dispatchQueued();
  }

  @Override
  public void counterCallEnded(long nowNanos, long counterKey, Outcome outcome, double total) {
    clock.advanceTo(nowNanos);
    if (quotas.counterCallEnded(counterKey, outcome, total)) {
      dispatcher.dispatchQueued();
    }
  }

  @Override
  public void healthCheckEnded(
      long nowNanos,
      String endpointId,
      Outcome outcome,
      long durationNanos,
      List<Double> loadReport) {
    clock.advanceTo(nowNanos);
    loadBalancer.healthCheckEnded(endpointId, loadReport);
  }

  @Override
  public void timerFired(long nowNanos, long token) {
    clock.advanceTo(nowNanos);
    actions.scheduleTimer(TIMER_TOKEN, TIMER_INTERVAL_NANOS);
    try {
      dispatcher.giveUpExpired();
      quotas.decideOverdueAdmissions();
      quotas.reportUse();
      if (controlIntervals.hasEnded(nowNanos)) {
        endControlInterval();
        quotas.dropDisposableAccounts();
      }
    } finally {
      // A step that throws at each timer must not keep the queued requests from being started.
      dispatcher.dispatchQueued();
    }
  }

  private void endControlInterval() {
    shareController.update();
    fairQueue.setShares(shareController.shares());
    concurrencyController.update();
    for (ClassStatistics statistics : classStatistics) {
      statistics.startInterval();
    }
  }

  /**
   * Returns when a request was admitted, for the host's log; empty if the request is not open or
   * was not admitted.
   */
  public OptionalLong admittedAtNanos(String requestId) {
    PendingRequest pending = dispatcher.get(requestId);
    return pending == null ? OptionalLong.empty() : pending.admittedAtNanos();
  }

  /** Returns the number of customers and endpoints that the gateway keeps state of. */
  int trackedCustomerAndEndpointCount() {
    return quotas.accountCount() + loadBalancer.trackedCount();
  }

  /** Applies the admission decisions of the quota module. */
  private final class AdmissionHandler implements AdmissionListener {
    @Override
    public void admitted(QuotaReservation reservation) {
      dispatcher.enqueue(dispatcher.get(reservation.requestId()));
    }

    @Override
    public void rejected(QuotaReservation reservation, double retryAfterSeconds) {
      dispatcher.rejectOverQuota(dispatcher.get(reservation.requestId()), retryAfterSeconds);
    }

    @Override
    public void deferred(QuotaReservation reservation) {
      dispatcher.get(reservation.requestId()).transitionTo(RequestState.AWAITING_COUNTER);
    }

    @Override
    public void abandoned(QuotaReservation reservation) {
      dispatcher.close(dispatcher.get(reservation.requestId()));
    }
  }
}
