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

/** Chooses endpoints for attempts and learns from how these end. Used by one thread. */
public final class LoadBalancer {
  /** Scores are raised at random by up to this fraction, so that gateways do not choose alike. */
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
   * @param log takes lines for operators
   * @param random the gateway's source of randomness
   */
  public LoadBalancer(
      GatewaySettings settings, Consumer<String> log, EventClock clock, SplittableRandom random) {
    this.settings = settings;
    this.log = log;
    this.random = random;
    registry = new EndpointRegistry(new GroupStatistics(), clock);
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

  /** How many endpoints take requests. */
  public int readyCount() {
    return registry.ready().size();
  }

  /** How many endpoints are kept, removed ones included. */
  public int trackedCount() {
    return registry.size();
  }

  /** Chooses the endpoint that should answer soonest; null if none may get the request now. */
  public EndpointTracker choose(BalancedRequest request) {
    return best(request, sampler.sample());
  }

  /** Chooses among all endpoints that a condition holds for; null if none may get the request. */
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
      if (score < bestScore && mayGet(request, candidate)) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  private boolean mayGet(BalancedRequest request, EndpointTracker candidate) {
    return !slowStart.isWarmingUp(candidate)
        || slowStart.trySelect(candidate, request.expectedServiceSeconds(), registry.ready());
  }

  /** Records that an attempt starts on an endpoint. */
  public void attemptStarted(EndpointTracker tracker, BalancedRequest request) {
    forwardedWork.record(request.expectedServiceSeconds());
    tracker.attemptStarted(request);
  }

  /**
   * Updates the statistics by an attempt that ended. One that was cancelled or never sent says
   * nothing.
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
   * Chooses an endpoint to check, at random, for a request that was queued: where responses come
   * less than once a second from each endpoint, health checks make up for them. Null if no check is
   * needed or allowed.
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

  /** Handles the end of a health check; the report is empty if there is none. */
  public void healthCheckEnded(String endpointId, List<Double> loadReport) {
    EndpointTracker tracker = registry.get(endpointId);
    if (tracker != null) {
      loadReports.record(tracker, loadReport);
      recent.record(tracker);
    }
  }
}
