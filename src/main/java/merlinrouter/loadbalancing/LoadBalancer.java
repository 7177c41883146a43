package merlinrouter.loadbalancing;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.time.EventClock;

/** Chooses endpoints for attempts by the results of earlier attempts. Used by one thread. */
public final class LoadBalancer {
  /** Scores are raised at random by up to this fraction so that gateways choose differently. */
  private static final double SCORE_NOISE = 0.1;

  private final GatewaySettings settings;
  private final Consumer<String> log;
  private final SplittableRandom random;
  private final EndpointRegistry registry;
  private final LoadReports loadReports;
  private final EndpointScorer scorer;
  private final ForwardedWork forwardedWork;
  private final SlowStart slowStart;
  private final RecentEndpoints recent = new RecentEndpoints();
  private final CandidateSampler sampler;

  /**
   * Creates a load balancer without endpoints.
   *
   * @param log receives log lines for operators
   * @param random the gateway's source of randomness
   */
  public LoadBalancer(
      GatewaySettings settings, Consumer<String> log, EventClock clock, SplittableRandom random) {
    this.settings = settings;
    this.log = log;
    this.random = random;
    registry = new EndpointRegistry(new GroupStatistics(clock), clock);
    loadReports = new LoadReports(settings.loadReportNames());
    scorer = new EndpointScorer(settings, clock, loadReports);
    forwardedWork = new ForwardedWork(clock);
    slowStart =
        new SlowStart(settings.rules(), settings.gatewayCount(), forwardedWork, clock, random);
    sampler = new CandidateSampler(settings.gatewayCount(), recent, random);
  }

  /** Applies an update of the endpoint list. */
  public void updateEndpoints(EndpointUpdateType type, List<Endpoint> endpoints) {
    registry.update(type, endpoints);
    sampler.setReady(registry.ready());
  }

  /** Returns the number of endpoints that take requests. */
  public int readyCount() {
    return registry.ready().size();
  }

  /** Returns the number of endpoints that are kept, including removed ones. */
  public int trackedCount() {
    return registry.size();
  }

  /** Chooses the best-scored endpoint of a sample; null if none may receive the request now. */
  public EndpointTracker choose(BalancedRequest request) {
    return best(request, sampler.sample());
  }

  /**
   * Chooses the best-scored of all ready endpoints that match a condition; null if none may receive
   * the request now.
   */
  public EndpointTracker chooseAmong(BalancedRequest request, Predicate<Endpoint> condition) {
    List<EndpointTracker> candidates =
        registry.ready().stream().filter(each -> condition.test(each.endpoint())).toList();
    return best(request, candidates);
  }

  private EndpointTracker best(BalancedRequest request, List<EndpointTracker> candidates) {
    EndpointTracker best = null;
    double bestScore = Double.MAX_VALUE;
    for (EndpointTracker candidate : candidates) {
      double score = scorer.score(candidate) * (1 + SCORE_NOISE * random.nextDouble());
      if (score < bestScore && mayReceive(request, candidate)) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  private boolean mayReceive(BalancedRequest request, EndpointTracker candidate) {
    return !slowStart.isWarmingUp(candidate)
        || slowStart.trySelect(candidate, request.expectedServiceSeconds(), registry.ready());
  }

  /** Records that an attempt starts on an endpoint. */
  public void attemptStarted(EndpointTracker tracker, BalancedRequest request) {
    forwardedWork.record(request.expectedServiceSeconds());
    tracker.attemptStarted(request);
  }

  /** Removes an attempt from those in flight without a result; does nothing if it is removed. */
  public void attemptDiscarded(EndpointTracker tracker, BalancedRequest request) {
    tracker.attemptEnded(request);
  }

  /**
   * Updates the statistics with an attempt that has ended. An attempt that was cancelled or never
   * sent is not counted, as it shows nothing about the endpoint.
   */
  public void attemptEnded(EndpointTracker tracker, BalancedRequest request, AttemptResult result) {
    tracker.attemptEnded(request);
    Outcome outcome = result.outcome();
    if (outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT) {
      return;
    }
    boolean changed =
        tracker.observe(result, request.expectedServiceSeconds(), registry.ready().size());
    if (outcome == Outcome.OK) {
      recent.record(tracker);
    }
    if (changed) {
      String change = tracker.isOutlier() ? "endpoint is an outlier: " : "endpoint recovered: ";
      log.accept(change + tracker.endpoint().id() + " after " + outcome);
    }
  }

  /**
   * Chooses a random endpoint to check when a request has been queued: if requests are forwarded at
   * a rate below one per second per endpoint, health checks supplement the rare responses. Returns
   * null if no check is needed, or if the settings do not allow health checks or load reports.
   */
  public Endpoint chooseForHealthCheck(BalancedRequest request) {
    List<EndpointTracker> ready = registry.ready();
    boolean responsesAreRare =
        forwardedWork.workPerSecond() < request.expectedServiceSeconds() * ready.size();
    if (ready.isEmpty()
        || !responsesAreRare
        || !settings.limits().healthChecks()
        || !loadReports.areEnabled()) {
      return null;
    }
    return ready.get(random.nextInt(ready.size())).endpoint();
  }

  /** Records the end of a health check; the report is empty if the endpoint sent none. */
  public void healthCheckEnded(String endpointId, List<Double> loadReport) {
    EndpointTracker tracker = registry.get(endpointId);
    if (tracker != null) {
      loadReports.record(tracker, loadReport);
      recent.record(tracker);
    }
  }
}
