package merlinrouter.node;

import static merlinrouter.time.Nanos.PER_MILLI;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinrouter.gateway.Gateway;
import merlinrouter.gateway.GatewayActions;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Idempotency;
import merlinrouter.model.Outcome;
import merlinrouter.settings.GatewaySettings;

/**
 * Runs a gateway in virtual time, in place of {@link GatewayHost} but without its last resort, the
 * timer that fails overdue requests. Checks each action against the invariants of the service, and
 * records a trace of events and actions.
 */
final class VirtualTimeHost implements GatewayActions {
  /** The interval of the gateway's timer, at which expired requests are given up. */
  private static final long TIMER_INTERVAL_NANOS = 10 * PER_MILLI;

  private static final long START_NANOS = 1_000 * PER_MILLI;
  private static final long NANOS_PER_MICRO = 1_000;

  /** The end of an attempt or a counter call; it times out if the outcome is null. */
  record PlannedEnd(Outcome outcome, long delayNanos) {}

  /** Decides how attempts and counter calls end. */
  interface EndPlan {
    /** Returns the end of an attempt that is being started. */
    PlannedEnd nextAttemptEnd();

    /** Returns the end of a counter call that is being started. */
    PlannedEnd nextCounterCallEnd();
  }

  /** A request with the state of its client, its attempts and its response. */
  static final class Request {
    private final String id;
    private final int classIndex;
    private long gatewayDeadlineNanos;
    private boolean delivered;
    private boolean clientDisconnected;
    private boolean disconnectDelivered;
    private boolean responded;
    private boolean attemptInFlight;
    private boolean possiblyExecuted;
    private int attempts;

    private Request(String id, int classIndex) {
      this.id = id;
      this.classIndex = classIndex;
    }

    int attempts() {
      return attempts;
    }

    /** Returns whether no response is owed any more and no attempt is in flight. */
    private boolean isEnded() {
      return (responded || clientDisconnected) && !attemptInFlight;
    }
  }

  private final GatewaySettings settings;
  private final EndPlan endPlan;
  private final DeadlineMargin margin = new DeadlineMargin(1);
  private final ShutdownDeadline shutdownDeadline;
  private final VirtualEventLoop loop;
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final List<Runnable> attemptsInFlight = new ArrayList<>();
  private final List<Runnable> counterCallsInFlight = new ArrayList<>();
  private final StringBuilder trace = new StringBuilder();
  private final Gateway gateway;
  private Outcome endOutcome;
  private boolean draining;

  VirtualTimeHost(GatewaySettings settings, EndPlan endPlan, long seed) {
    this.settings = settings;
    this.endPlan = endPlan;
    loop = new VirtualEventLoop(START_NANOS, seed);
    shutdownDeadline = new ShutdownDeadline(settings.requestClasses());
    gateway = new Gateway(settings, seed, loop.nowNanos(), this);
  }

  /** Returns the trace, with one line for each event and action. */
  String trace() {
    return trace.toString();
  }

  private void record(String line) {
    long micros = (loop.nowNanos() - START_NANOS) / NANOS_PER_MICRO;
    trace.append(micros).append(" us: ").append(line).append('\n');
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      throw new AssertionError(violation);
    }
  }

  /**
   * Schedules an action for a time, in nanoseconds from the start. If the event loop is stalled
   * then, the action runs when the stall ends.
   */
  void schedule(long afterStartNanos, Runnable action) {
    loop.schedule(START_NANOS + afterStartNanos, action);
  }

  /** Runs the event loop up to a time, in nanoseconds from the start. */
  void runUntil(long afterStartNanos) {
    loop.runUntil(START_NANOS + afterStartNanos);
  }

  /** Stalls the event loop. */
  void stall(long nanos) {
    record("the event loop stalls for " + nanos / PER_MILLI + " ms");
    loop.stall(nanos);
  }

  /**
   * Schedules a request of a client.
   *
   * @param atNanos when it arrives, in nanoseconds from the start
   */
  Request scheduleRequest(
      long atNanos, String id, int classIndex, long customer, double units, long timeoutNanos) {
    long arrivedNanos = START_NANOS + atNanos;
    Request request = new Request(id, classIndex);
    requests.put(id, request);
    schedule(
        atNanos,
        () -> {
          if (!request.clientDisconnected) {
            deliver(request, arrivedNanos, timeoutNanos, customer, units);
          }
        });
    return request;
  }

  private void deliver(
      Request request, long arrivedNanos, long timeoutNanos, long customer, double units) {
    request.delivered = true;
    request.gatewayDeadlineNanos =
        shutdownDeadline.limit(margin.deadlineNanos(arrivedNanos, timeoutNanos));
    record("request " + request.id + ", timeout " + timeoutNanos / PER_MILLI + " ms");
    gateway.requestReceived(
        loop.nowNanos(),
        new ClientRequest(
            request.id,
            request.classIndex,
            0,
            customer,
            request.gatewayDeadlineNanos,
            units,
            settings.gatewayCount(),
            0,
            false));
  }

  /** Disconnects the client of a request; the event loop detects it in one of its next turns. */
  void disconnect(Request request) {
    if (request.responded || request.clientDisconnected) {
      return;
    }
    record("the client of " + request.id + " disconnects");
    request.clientDisconnected = true;
    loop.schedule(loop.nowNanos(), () -> deliverDisconnect(request));
  }

  private void deliverDisconnect(Request request) {
    if (request.delivered && !request.responded && !request.disconnectDelivered) {
      request.disconnectDelivered = true;
      gateway.clientDisconnected(loop.nowNanos(), request.id);
    }
  }

  /** Updates one endpoint of the list. */
  void updateEndpoint(String id, EndpointState state, boolean startsNow) {
    record("endpoint " + id + " " + state + (startsNow ? ", starts now" : ""));
    Endpoint endpoint = new Endpoint(id, 1, 0, 0, 0, state, startsNow ? loop.nowNanos() : 0);
    endpoints.put(id, endpoint);
    gateway.endpointsUpdated(loop.nowNanos(), EndpointUpdateType.DELTA, List.of(endpoint));
  }

  /** Returns whether a graceful shutdown has been started. */
  boolean isDraining() {
    return draining;
  }

  /** Starts a graceful shutdown, which limits the deadlines of later requests. */
  void drain() {
    record("drain");
    draining = true;
    shutdownDeadline.shutdownStarted(loop.nowNanos());
  }

  /** Ends the oldest attempt in flight; no effect if there is none. */
  void endOldestAttempt(Outcome outcome) {
    endOldest(attemptsInFlight, outcome);
  }

  /** Ends the oldest counter call in flight; no effect if there is none. */
  void endOldestCounterCall(Outcome outcome) {
    endOldest(counterCallsInFlight, outcome);
  }

  private void endOldest(List<Runnable> inFlight, Outcome outcome) {
    if (!inFlight.isEmpty()) {
      endOutcome = outcome;
      inFlight.get(0).run();
    }
  }

  @Override
  public void startAttempt(String requestId, String endpointId, long timeoutNanos) {
    Request request = requests.get(requestId);
    record("attempt of " + requestId + " starts at " + endpointId);
    check(!request.responded, "an attempt of " + requestId + " starts after its response");
    check(
        !request.disconnectDelivered,
        "an attempt of " + requestId + " starts after its client's disconnect");
    check(
        !request.attemptInFlight,
        "an attempt of " + requestId + " starts while another is in flight");
    check(
        endpoints.get(endpointId).state() == EndpointState.READY,
        "an attempt of " + requestId + " starts at " + endpointId + ", which is not ready");
    check(
        !request.possiblyExecuted
            || settings.requestClasses().get(request.classIndex).idempotency()
                != Idempotency.NON_IDEMPOTENT,
        "request " + requestId + " is retried: it is not idempotent and may have been executed");
    request.attemptInFlight = true;
    long startedNanos = loop.nowNanos();
    if (request.clientDisconnected) {
      // Before it sends an attempt, the host reads the client's connection and detects the close.
      deliverDisconnectLater(request);
      loop.schedule(
          loop.nowNanos(), () -> endAttempt(request, endpointId, startedNanos, Outcome.NOT_SENT));
      return;
    }
    request.attempts++;
    PlannedEnd plannedEnd = endPlan.nextAttemptEnd();
    boolean[] ended = {false};
    Runnable[] end = new Runnable[1];
    end[0] =
        () -> {
          if (!ended[0]) {
            ended[0] = true;
            attemptsInFlight.remove(end[0]);
            endAttempt(request, endpointId, startedNanos, endOutcome);
          }
        };
    attemptsInFlight.add(end[0]);
    scheduleEnd(end[0], Outcome.TIMEOUT, timeoutNanos);
    if (plannedEnd.outcome() != null) {
      scheduleEnd(end[0], plannedEnd.outcome(), plannedEnd.delayNanos());
    }
  }

  private void deliverDisconnectLater(Request request) {
    loop.schedule(loop.nowNanos(), () -> deliverDisconnect(request));
  }

  private void scheduleEnd(Runnable end, Outcome outcome, long delayNanos) {
    loop.schedule(
        loop.nowNanos() + delayNanos,
        () -> {
          endOutcome = outcome;
          end.run();
        });
  }

  private void endAttempt(Request request, String endpointId, long startedNanos, Outcome outcome) {
    record("attempt of " + request.id + " ends: " + outcome);
    request.attemptInFlight = false;
    request.possiblyExecuted |= !outcome.provesNotExecuted();
    if (outcome == Outcome.OK && !request.clientDisconnected) {
      respond(request, "served");
    }
    gateway.attemptEnded(
        loop.nowNanos(),
        new AttemptResult(
            request.id,
            outcome,
            loop.nowNanos() - startedNanos,
            endpointId,
            request.responded || request.disconnectDelivered,
            request.attempts - 1,
            0,
            List.of()));
  }

  @Override
  public void reject(String requestId, long retryAfterNanos) {
    respond(requests.get(requestId), "rejected");
  }

  @Override
  public void fail(String requestId) {
    respond(requests.get(requestId), "failed");
  }

  private void respond(Request request, String response) {
    record("request " + request.id + " is " + response);
    check(!request.responded, "request " + request.id + " gets a second response");
    check(
        !request.disconnectDelivered,
        "request " + request.id + " gets a response after its client's disconnect");
    // A request that expires during a stall may be given up at the first timer after the stall.
    long latestNanos =
        loop.endOfStalls(loop.endOfStalls(request.gatewayDeadlineNanos) + TIMER_INTERVAL_NANOS);
    check(
        loop.nowNanos() <= latestNanos,
        "the response to "
            + request.id
            + " is "
            + (loop.nowNanos() - latestNanos)
            + " ns too late");
    request.responded = true;
  }

  /** Fails if any request is owed a response or has an attempt in flight. */
  void checkAllEnded() {
    for (Request request : requests.values()) {
      check(
          request.isEnded(),
          "request " + request.id + " is owed a response or has an attempt in flight");
    }
  }

  @Override
  public void addToCounter(long counterKey, double amount, long timeToLiveNanos) {
    PlannedEnd plannedEnd = endPlan.nextCounterCallEnd();
    boolean[] ended = {false};
    Runnable[] end = new Runnable[1];
    end[0] =
        () -> {
          if (!ended[0]) {
            ended[0] = true;
            counterCallsInFlight.remove(end[0]);
            record("counter call ends: " + endOutcome);
            gateway.counterCallEnded(loop.nowNanos(), counterKey, endOutcome, Math.max(0, amount));
          }
        };
    counterCallsInFlight.add(end[0]);
    scheduleEnd(end[0], Outcome.TIMEOUT, settings.counter().timeoutNanos());
    if (plannedEnd.outcome() != null) {
      scheduleEnd(end[0], plannedEnd.outcome(), plannedEnd.delayNanos());
    }
  }

  @Override
  public void scheduleTimer(long token, long delayNanos) {
    loop.schedule(loop.nowNanos() + delayNanos, () -> gateway.timerFired(loop.nowNanos(), token));
  }

  @Override
  public void startHealthCheck(String endpointId) {
    throw new AssertionError("the settings allow no health checks");
  }

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void log(String line) {
    record("log: " + line);
  }
}
