package merlinrouter.gateway;

import java.util.OptionalLong;
import merlinrouter.loadbalancing.BalancedRequest;
import merlinrouter.loadbalancing.EndpointTracker;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;
import merlinrouter.queue.ClassQueue;
import merlinrouter.queue.QueuedRequest;
import merlinrouter.quota.QuotaReservation;
import merlinrouter.retry.ExecutionHistory;
import merlinrouter.retry.RetryCandidate;
import merlinrouter.settings.RequestClass;
import merlinrouter.stats.AttemptSample;
import merlinrouter.stats.ClassStatistics;
import merlinrouter.time.Nanos;

/** A request from its arrival to its end: its state, its attempts and what it holds. */
final class PendingRequest implements QueuedRequest, BalancedRequest {
  private final ClientRequest request;
  private final ClassQueue<PendingRequest> queue;
  private final QuotaReservation reservation;
  private final ExecutionHistory history = new ExecutionHistory();
  private final long arrivedAtNanos;
  private final double arrivalVirtualTime;
  private RequestState state = RequestState.RECEIVED;
  private OptionalLong admittedAtNanos = OptionalLong.empty();
  private int attempts;
  private EndpointTracker endpoint;
  private long attemptStartedAtNanos;

  PendingRequest(
      ClientRequest request,
      ClassQueue<PendingRequest> queue,
      QuotaReservation reservation,
      long arrivedAtNanos,
      double arrivalVirtualTime) {
    this.request = request;
    this.queue = queue;
    this.reservation = reservation;
    this.arrivedAtNanos = arrivedAtNanos;
    this.arrivalVirtualTime = arrivalVirtualTime;
  }

  /** The moment up to which a response earns the full value. */
  static long objectiveAtNanos(
      ClientRequest request, RequestClass requestClass, long arrivedAtNanos) {
    return Math.min(arrivedAtNanos + requestClass.latencyObjectiveNanos(), request.deadlineNanos());
  }

  long objectiveAtNanos() {
    return objectiveAtNanos(request, requestClass(), arrivedAtNanos);
  }

  String id() {
    return request.id();
  }

  ClientRequest request() {
    return request;
  }

  ClassQueue<PendingRequest> queue() {
    return queue;
  }

  ClassStatistics statistics() {
    return queue.statistics();
  }

  RequestClass requestClass() {
    return queue.statistics().requestClass();
  }

  QuotaReservation reservation() {
    return reservation;
  }

  ExecutionHistory history() {
    return history;
  }

  int attempts() {
    return attempts;
  }

  RequestState state() {
    return state;
  }

  /**
   * Moves the request to another state.
   *
   * @throws IllegalStateException if that state may not follow the present one
   */
  void transitionTo(RequestState next) {
    if (!state.mayBecome(next)) {
      throw new IllegalStateException("request " + id() + ": " + state + " cannot become " + next);
    }
    state = next;
  }

  /** Records that quota and limits permit the request, which waits for its first attempt now. */
  void admitted(long nowNanos) {
    transitionTo(RequestState.QUEUED);
    admittedAtNanos = OptionalLong.of(nowNanos);
  }

  /** When the request was admitted; empty if it was not. */
  OptionalLong admittedAtNanos() {
    return admittedAtNanos;
  }

  /** Records that an attempt starts. */
  void attemptStarted(EndpointTracker chosen, long nowNanos) {
    transitionTo(RequestState.IN_FLIGHT);
    attempts++;
    endpoint = chosen;
    attemptStartedAtNanos = nowNanos;
  }

  /** Records that the attempt ended. */
  void attemptEnded(Outcome outcome) {
    if (!outcome.provesNotExecuted()) {
      history.recordPossibleExecution(attemptStartedAtNanos, endpoint.endpoint());
    }
    endpoint = null;
  }

  /** The endpoint of the attempt in flight; null if there is none. */
  EndpointTracker endpoint() {
    return endpoint;
  }

  /** Whether an attempt is in flight. */
  boolean hasAttemptInFlight() {
    return endpoint != null;
  }

  /** The request as the retry policy sees it after an attempt with some outcome. */
  RetryCandidate asRetryCandidate(Outcome lastOutcome) {
    return new RetryCandidate(
        requestClass(),
        history,
        attempts,
        objectiveAtNanos(),
        statistics().meanServiceSeconds(),
        lastOutcome);
  }

  /** What the attempt that ended now showed. */
  AttemptSample sample(AttemptResult result, long nowNanos) {
    return new AttemptSample(
        result.outcome(),
        Nanos.toSeconds(result.durationNanos()),
        request.units(),
        reservation.planValueFactor(),
        Nanos.toSeconds(nowNanos - arrivedAtNanos),
        Nanos.toSeconds(attemptStartedAtNanos - arrivedAtNanos));
  }

  @Override
  public boolean mayStart() {
    return reservation.mayForward();
  }

  @Override
  public double arrivalVirtualTime() {
    return arrivalVirtualTime;
  }

  @Override
  public double value() {
    return reservation.value();
  }

  @Override
  public double expectedServiceSeconds() {
    return statistics().expectedServiceSeconds(request.units());
  }

  @Override
  public long attemptStartedAtNanos() {
    return attemptStartedAtNanos;
  }
}
