package merlinrouter.gateway;

import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import merlinrouter.settings.TestSettings;

/**
 * Simulates the host of one gateway: records the actions that the gateway requests, and delivers
 * the events that a test chooses. Time advances only when the test advances it.
 */
final class SimulatedHost implements GatewayActions {
  /** Reported duration of each attempt. */
  private static final long ATTEMPT_DURATION_NANOS = 20 * PER_MILLI;

  private static final long TIMER_INTERVAL_NANOS = 10 * PER_MILLI;
  private static final long DEFAULT_SEED = 7;

  /** An attempt that the gateway started. */
  record Attempt(String requestId, String endpointId, long timeoutNanos) {}

  /** An addition to a shared counter that the gateway requested. */
  record CounterCall(long counterKey, double units) {}

  final List<Attempt> attempts = new ArrayList<>();
  final List<String> rejected = new ArrayList<>();
  final List<String> failed = new ArrayList<>();
  final List<String> healthChecked = new ArrayList<>();
  final List<CounterCall> counterCalls = new ArrayList<>();
  final List<String> logLines = new ArrayList<>();
  final Gateway gateway;

  /** The monotonic time of the next event. */
  long nowNanos = PER_SECOND;

  private final int gatewayCount;
  private final boolean healthChecks;
  private int requestCount;
  private boolean failsAttemptStart;

  /** Starts a gateway with a shared counter and without health checks. */
  SimulatedHost(QuotaPlan plan, int gatewayCount, int gatewayNumber) {
    this(plan, gatewayCount, gatewayNumber, true, DEFAULT_SEED, false);
  }

  /** Starts a gateway; the requests of each customer are spread over all gateways. */
  SimulatedHost(
      QuotaPlan plan,
      int gatewayCount,
      int gatewayNumber,
      boolean counterPresent,
      long seed,
      boolean healthChecks) {
    this.gatewayCount = gatewayCount;
    this.healthChecks = healthChecks;
    gateway =
        new Gateway(
            TestSettings.gateway(plan, gatewayCount, gatewayNumber, counterPresent, healthChecks),
            seed,
            nowNanos,
            this);
  }

  /** Starts a gateway without a shared counter. */
  static SimulatedHost withoutCounter(QuotaPlan plan, int gatewayCount) {
    return new SimulatedHost(plan, gatewayCount, 0, false, DEFAULT_SEED, false);
  }

  /** Adds warm endpoints named a, b, c ..., alternately in two cells. */
  SimulatedHost withEndpoints(int count) {
    for (int i = 0; i < count; i++) {
      updateEndpoint(String.valueOf((char) ('a' + i)), i % 2, EndpointState.READY, 0);
    }
    return this;
  }

  /** Delivers an update of one endpoint; its zone has the number of its cell. */
  void updateEndpoint(String id, int cell, EndpointState state, long startedAtNanos) {
    gateway.endpointsUpdated(
        nowNanos,
        EndpointUpdateType.DELTA,
        List.of(new Endpoint(id, 1, cell, cell, 0, state, startedAtNanos)));
  }

  /** Delivers a request of customer 1 whose client waits for 3 s, and returns its id. */
  String request(int classIndex, double units) {
    return request(classIndex, 0, 1, units, nowNanos + 3 * PER_SECOND);
  }

  /** Delivers a request and returns its id: r0, r1 and so on. */
  String request(int classIndex, int planIndex, long customer, double units, long deadlineNanos) {
    String id = "r" + requestCount++;
    gateway.requestReceived(
        nowNanos,
        new ClientRequest(
            id, classIndex, planIndex, customer, deadlineNanos, units, gatewayCount, 0, false));
    return id;
  }

  /** Ends the latest attempt of a request; a success completes the request. */
  void endAttempt(String requestId, Outcome outcome) {
    endAttempt(requestId, outcome, outcome == Outcome.OK);
  }

  /** Ends the latest attempt of a request. */
  void endAttempt(String requestId, Outcome outcome, boolean requestComplete) {
    List<Attempt> started = attemptsOf(requestId);
    int latest = started.size() - 1;
    gateway.attemptEnded(
        nowNanos,
        new AttemptResult(
            requestId,
            outcome,
            ATTEMPT_DURATION_NANOS,
            started.get(latest).endpointId(),
            requestComplete,
            latest,
            0,
            List.of()));
  }

  /** Returns the attempts of a request, in the order in which they were started. */
  List<Attempt> attemptsOf(String requestId) {
    return attempts.stream().filter(attempt -> attempt.requestId().equals(requestId)).toList();
  }

  /** Returns and clears the calls to the counter made since the last call of this method. */
  List<CounterCall> takeCounterCalls() {
    List<CounterCall> taken = List.copyOf(counterCalls);
    counterCalls.clear();
    return taken;
  }

  /** Ends a call to the counter successfully, with a total. */
  void answerCounterCall(CounterCall call, double totalUnits) {
    endCounterCall(call, Outcome.OK, totalUnits);
  }

  /** Ends a call to the counter. */
  void endCounterCall(CounterCall call, Outcome outcome, double totalUnits) {
    gateway.counterCallEnded(nowNanos, call.counterKey(), outcome, totalUnits);
  }

  /** Advances the time and fires the timer at the interval that the gateway uses. */
  void advance(long nanos) {
    long untilNanos = nowNanos + nanos;
    while (nowNanos < untilNanos) {
      nowNanos += Math.min(TIMER_INTERVAL_NANOS, untilNanos - nowNanos);
      gateway.timerFired(nowNanos, 0);
    }
  }

  /** Makes the next start of an attempt throw an exception. */
  void failNextAttemptStart() {
    failsAttemptStart = true;
  }

  @Override
  public void startAttempt(String requestId, String endpointId, long timeoutNanos) {
    if (failsAttemptStart) {
      failsAttemptStart = false;
      throw new IllegalStateException("thrown by the test");
    }
    attempts.add(new Attempt(requestId, endpointId, timeoutNanos));
  }

  @Override
  public void reject(String requestId, long retryAfterNanos) {
    rejected.add(requestId);
  }

  @Override
  public void fail(String requestId) {
    failed.add(requestId);
  }

  @Override
  public void startHealthCheck(String endpointId) {
    assertTrue(healthChecks, "the settings do not allow health checks");
    healthChecked.add(endpointId);
  }

  @Override
  public void addToCounter(long counterKey, double units, long timeToLiveNanos) {
    counterCalls.add(new CounterCall(counterKey, units));
  }

  @Override
  public void scheduleTimer(long token, long delayNanos) {}

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void log(String line) {
    logLines.add(line);
  }
}
