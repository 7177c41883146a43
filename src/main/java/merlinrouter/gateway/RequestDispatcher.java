package merlinrouter.gateway;

import java.util.HashMap;
import java.util.Map;
import merlinrouter.control.ConcurrencyController;
import merlinrouter.control.ConcurrencyLimiter;
import merlinrouter.loadbalancing.EndpointTracker;
import merlinrouter.loadbalancing.LoadBalancer;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.Endpoint;
import merlinrouter.model.Outcome;
import merlinrouter.queue.ClassQueue;
import merlinrouter.queue.FairQueue;
import merlinrouter.queue.LoadShedder;
import merlinrouter.retry.DeadlinePolicy;
import merlinrouter.retry.RetryAfter;
import merlinrouter.retry.RetryBudget;
import merlinrouter.retry.RetryPolicy;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.EventClock;

/**
 * Keeps the open requests: queues those that were admitted, starts their attempts and retries, and
 * requests their final responses.
 */
final class RequestDispatcher {
  private final GatewayActions actions;
  private final EventClock clock;
  private final FairQueue<PendingRequest> fairQueue;
  private final ConcurrencyController concurrencyController;
  private final ConcurrencyLimiter concurrencyLimiter;
  private final LoadShedder<PendingRequest> loadShedder;
  private final LoadBalancer loadBalancer;
  private final RetryBudget retryBudget = new RetryBudget();
  private final RetryPolicy retryPolicy;
  private final RetryAfter retryAfter;
  private final DeadlinePolicy deadlinePolicy;
  private final boolean reportsActualUnits;
  private final Map<String, PendingRequest> requestsById = new HashMap<>();

  /**
   * Creates a dispatcher without requests.
   *
   * @param timerIntervalNanos interval between calls of {@link #giveUpExpired}
   */
  RequestDispatcher(
      GatewaySettings settings,
      GatewayActions actions,
      EventClock clock,
      FairQueue<PendingRequest> fairQueue,
      ConcurrencyController concurrencyController,
      LoadBalancer loadBalancer,
      long timerIntervalNanos) {
    this.actions = actions;
    this.clock = clock;
    this.fairQueue = fairQueue;
    this.concurrencyController = concurrencyController;
    this.loadBalancer = loadBalancer;
    reportsActualUnits = settings.counter().reportsActualUnits();
    concurrencyLimiter = new ConcurrencyLimiter(concurrencyController, clock);
    loadShedder = new LoadShedder<>(fairQueue, concurrencyController, concurrencyLimiter);
    retryPolicy = new RetryPolicy(settings.limits(), retryBudget, clock, timerIntervalNanos);
    retryAfter = new RetryAfter(settings.limits());
    deadlinePolicy = new DeadlinePolicy(settings, clock, timerIntervalNanos);
  }

  /** Returns the open request with an id; null if there is none. */
  PendingRequest get(String requestId) {
    return requestsById.get(requestId);
  }

  /** Adds a request that has just arrived to the open requests. */
  void add(PendingRequest pending) {
    requestsById.put(pending.id(), pending);
  }

  /**
   * Queues an admitted request, sheds load if the queue has become too long, and starts a health
   * check if one is needed.
   */
  void enqueue(PendingRequest pending) {
    pending.admitted(clock.nowNanos());
    pending.queue().add(pending);
    PendingRequest excess = loadShedder.pollExcess(pending.queue());
    while (excess != null) {
      giveUp(excess);
      excess = loadShedder.pollExcess(pending.queue());
    }
    Endpoint endpointToCheck = loadBalancer.chooseForHealthCheck(pending);
    if (endpointToCheck != null) {
      actions.startHealthCheck(endpointToCheck.id());
    }
  }

  /** Gives up queued requests that can no longer meet their objective, at any queue position. */
  void giveUpExpired() {
    for (ClassQueue<PendingRequest> queue : fairQueue.queues()) {
      if (queue.isEmpty()) {
        continue;
      }
      for (PendingRequest pending : queue.snapshot()) {
        if (cannotMeetObjective(pending)) {
          queue.remove(pending);
          giveUp(pending);
        }
      }
    }
  }

  /** Returns whether it is too late to serve a request, not yet attempted, within its objective. */
  boolean cannotMeetObjective(PendingRequest pending) {
    return deadlinePolicy.cannotMeetObjective(
        pending.objectiveAtNanos(), pending.expectedServiceSeconds());
  }

  /**
   * Starts first attempts of queued requests while the concurrency level permits. If no endpoint
   * may receive the next request now, all other requests wait as well, whatever their class.
   */
  void dispatchQueued() {
    while (concurrencyLimiter.permitsFirstAttempt()) {
      ClassQueue<PendingRequest> queue = fairQueue.next();
      if (queue == null) {
        return;
      }
      PendingRequest pending = queue.firstStartable();
      if (cannotMeetObjective(pending)) {
        queue.remove(pending);
        giveUp(pending);
        continue;
      }
      EndpointTracker endpoint = chooseEndpoint(pending);
      if (endpoint == null) {
        return;
      }
      fairQueue.release(queue, pending);
      startAttempt(pending, endpoint);
    }
  }

  private EndpointTracker chooseEndpoint(PendingRequest pending) {
    RequestClass requestClass = pending.requestClass();
    if (!pending.history().isBoundToScope(requestClass)) {
      return loadBalancer.choose(pending);
    }
    return loadBalancer.chooseAmong(
        pending, endpoint -> pending.history().isInScope(requestClass, endpoint));
  }

  private void startAttempt(PendingRequest pending, EndpointTracker endpoint) {
    if (pending.attempts() == 0) {
      retryBudget.firstAttemptStarted();
    }
    pending.reservation().markForwarded();
    pending.attemptStarted(endpoint, clock.nowNanos());
    loadBalancer.attemptStarted(endpoint, pending);
    concurrencyLimiter.acquire();
    pending.takeSlot();
    long timeoutNanos =
        deadlinePolicy.attemptTimeoutNanos(
            pending.requestClass(), pending.objectiveAtNanos(), pending.request().deadlineNanos());
    actions.startAttempt(pending.id(), endpoint.endpoint().id(), timeoutNanos);
  }

  /** Records the result of an attempt, then retries or closes the request. */
  void completeAttempt(PendingRequest pending, AttemptResult result) {
    releaseSlot(pending, result.durationNanos());
    loadBalancer.attemptEnded(pending.endpoint(), pending, result);
    pending.statistics().recordAttempt(pending.sample(result, clock.nowNanos()));
    settleUnits(pending, result);
    pending.attemptEnded(result.outcome());
    if (result.requestComplete() || pending.state().isAbandoned()) {
      close(pending);
    } else {
      retryOrGiveUp(pending, result.outcome());
    }
  }

  private void releaseSlot(PendingRequest pending, long attemptDurationNanos) {
    if (pending.giveBackSlot()) {
      concurrencyLimiter.release(attemptDurationNanos);
    }
  }

  /**
   * Releases all that a request holds, whose handling an exception has interrupted at any point. No
   * attempt of it is in flight.
   */
  void discard(PendingRequest pending) {
    pending.queue().remove(pending);
    releaseSlot(pending, 0);
    if (pending.hasAttemptInFlight()) {
      loadBalancer.attemptDiscarded(pending.endpoint(), pending);
    }
    if (!pending.reservation().isAwaitingCounter()) {
      close(pending);
    } else if (!pending.state().isAbandoned()) {
      // The end of the call closes it.
      pending.abandonAwaitingCounter();
    }
  }

  private void settleUnits(PendingRequest pending, AttemptResult result) {
    boolean actualUnitsKnown = reportsActualUnits && result.actualUnits() > 0;
    if (actualUnitsKnown && result.outcome() == Outcome.OK) {
      pending.reservation().settle(result.actualUnits());
    }
  }

  private void retryOrGiveUp(PendingRequest pending, Outcome lastOutcome) {
    boolean mayRetry = retryPolicy.mayRetry(pending.asRetryCandidate(lastOutcome));
    EndpointTracker endpoint = mayRetry ? chooseEndpoint(pending) : null;
    if (endpoint == null) {
      giveUp(pending);
    } else {
      retryBudget.retryStarted(lastOutcome);
      startAttempt(pending, endpoint);
    }
  }

  /** Rejects a request that exceeds a quota or hard limit, which refills within some seconds. */
  void rejectOverQuota(PendingRequest pending, double retryAfterSeconds) {
    actions.reject(pending.id(), retryAfter.nanos(retryAfterSeconds));
    close(pending);
  }

  /**
   * Ends a request that is not served: rejects it if a retry by the client would be harmless, and
   * fails it otherwise.
   */
  void giveUp(PendingRequest pending) {
    if (RetryPolicy.isClientRetryHarmless(pending.requestClass(), pending.history())) {
      actions.reject(pending.id(), retryAfter.nanos(queueDrainSeconds(pending)));
    } else {
      actions.fail(pending.id());
    }
    close(pending);
  }

  /**
   * Ends a request with the id of one that the host no longer tracks, but whose end has not been
   * reported yet. The new one is not attempted.
   */
  void endDuplicate(PendingRequest existing) {
    if (RetryPolicy.isClientRetryHarmless(existing.requestClass(), existing.history())) {
      actions.reject(existing.id(), 0);
    } else {
      actions.fail(existing.id());
    }
  }

  /** Returns the expected time, by Little's law, until all requests of its queue are forwarded. */
  private double queueDrainSeconds(PendingRequest pending) {
    double queuedPerLevel = pending.queue().size() / concurrencyController.level();
    return pending.statistics().meanServiceSeconds() * (1 + queuedPerLevel);
  }

  /** Closes a request to which no response is due any more; does nothing if it is closed. */
  void close(PendingRequest pending) {
    if (requestsById.remove(pending.id()) != null) {
      pending.transitionTo(RequestState.FINISHED);
      pending.reservation().release();
    }
  }
}
