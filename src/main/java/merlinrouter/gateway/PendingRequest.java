package merlinrouter.gateway;

import java.util.OptionalLong;
import merlinrouter.loadbalancing.BalancedRequest;
import merlinrouter.loadbalancing.EndpointTracker;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Endpoint;
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

/** An open request: its state, queue, quota reservation and attempts. */
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

  /** The entry of the endpoint list at the start of the latest attempt; it may change meanwhile. */
  private Endpoint endpointAtAttemptStart;

  private long attemptStartedAtNanos;

  /** Whether the attempt in flight counts in the concurrency limiter. */
  private boolean holdsSlot;

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

  /**
   * Returns the time up to which a response earns the full value: that of the latency objective or
   * the deadline, whichever is earlier.
   */
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
   * Changes the state of the request.
   *
   * @throws IllegalStateException if the transition from the current state is not allowed
   */
  void transitionTo(RequestState next) {
    if (!state.mayTransitionTo(next)) {
      throw new IllegalStateException(
          "request " + id() + ": illegal state transition from " + state + " to " + next);
    }
    state = next;
  }

  /** Records that the request was admitted and is queued for its first attempt. */
  void admitted(long nowNanos) {
    transitionTo(RequestState.QUEUED);
    admittedAtNanos = OptionalLong.of(nowNanos);
  }

  /** Returns when the request was admitted; empty if it was not. */
  OptionalLong admittedAtNanos() {
    return admittedAtNanos;
  }

  /** Records the start of an attempt. */
  void attemptStarted(EndpointTracker attemptEndpoint, long nowNanos) {
    transitionTo(RequestState.IN_FLIGHT);
    attempts++;
    endpoint = attemptEndpoint;
    endpointAtAttemptStart = attemptEndpoint.endpoint();
    attemptStartedAtNanos = nowNanos;
  }

  /** Records the end of the attempt in flight. */
  void attemptEnded(Outcome outcome) {
    if (!outcome.provesNotExecuted()) {
      history.recordPossibleExecution(attemptStartedAtNanos, endpointAtAttemptStart);
    }
    endpoint = null;
  }

  /** Returns the endpoint of the attempt in flight; null if no attempt is in flight. */
  EndpointTracker endpoint() {
    return endpoint;
  }

  /**
   * Records that the client has disconnected, or is owed no response any more, while the decision
   * on the admission waits for the counter.
   */
  void abandonAwaitingCounter() {
    if (state == RequestState.RECEIVED) {
      transitionTo(RequestState.AWAITING_COUNTER);
    }
    transitionTo(RequestState.ABANDONED_AWAITING_COUNTER);
    reservation.abandon();
  }

  /** Returns whether an attempt is in flight. */
  boolean hasAttemptInFlight() {
    return endpoint != null;
  }

  /** Records that a slot of the concurrency limiter is taken for an attempt. */
  void takeSlot() {
    holdsSlot = true;
  }

  /** Returns whether a slot of the concurrency limiter is held, and marks it as given back. */
  boolean giveBackSlot() {
    boolean held = holdsSlot;
    holdsSlot = false;
    return held;
  }

  /** Returns the input of the retry policy after an attempt with the given outcome. */
  RetryCandidate asRetryCandidate(Outcome lastOutcome) {
    return new RetryCandidate(
        requestClass(),
        history,
        attempts,
        objectiveAtNanos(),
        statistics().meanServiceSeconds(),
        lastOutcome);
  }

  /** Returns the statistics sample of an attempt that has just ended. */
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
