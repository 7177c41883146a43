package merlinrouter.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.DeduplicationScope;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Idempotency;
import merlinrouter.model.Outcome;
import merlinrouter.settings.CounterSettings;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.QuotaPlan;
import merlinrouter.settings.RequestClass;
import merlinrouter.settings.RequestLimits;
import merlinrouter.settings.ServiceRules;

/** A host under the test's control: writes down what one gateway asks for and calls its events. */
final class Host implements GatewayActions {
  static final long MS = 1_000_000L;
  static final int SAFE = 0;
  static final int KEYED_CELL = 1;
  static final int UNSAFE = 2;
  static final int KEYED_ALL = 3;
  static final QuotaPlan FREE = new QuotaPlan(0, 0, 0, 1, 0, 0, 0, 0, 0);

  record Sent(String id, String server, long patience) {}

  record Counted(long name, double amount) {}

  final List<Sent> sent = new ArrayList<>();
  final List<String> refused = new ArrayList<>();
  final List<String> failed = new ArrayList<>();
  final List<String> probed = new ArrayList<>();
  final List<Counted> counted = new ArrayList<>();
  final List<String> logs = new ArrayList<>();
  final Gateway gateway;
  long now = 1_000 * MS;
  private final int setSize;
  private final boolean probes;
  private int ids;

  Host(QuotaPlan plan, int siblings, int me) {
    this(plan, siblings, me, true);
  }

  Host(QuotaPlan plan, int siblings, int me, boolean counter) {
    this(plan, siblings, me, counter, 7, false);
  }

  Host(QuotaPlan plan, int siblings, int me, boolean counter, long seed, boolean probes) {
    setSize = siblings;
    this.probes = probes;
    gateway = new Gateway(settings(plan, siblings, me, counter, probes), seed, now, this);
  }

  static GatewaySettings settings(
      QuotaPlan plan, int siblings, int me, boolean counter, boolean probes) {
    return new GatewaySettings(
        me,
        siblings,
        0,
        MS,
        true,
        probes ? List.of("waiting") : List.of(),
        List.of(
            new RequestClass(
                1000 * MS,
                3000 * MS,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL_ENDPOINTS,
                0,
                0,
                1),
            new RequestClass(
                1000 * MS,
                2000 * MS,
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.CELL,
                700 * MS,
                0.2,
                4),
            new RequestClass(
                1000 * MS,
                3000 * MS,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.ALL_ENDPOINTS,
                0,
                0.2,
                3),
            new RequestClass(
                1000 * MS,
                3000 * MS,
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.ALL_ENDPOINTS,
                700 * MS,
                0,
                4)),
        List.of(plan),
        new RequestLimits(4, 1000, probes, false, 0, false, 0),
        new CounterSettings(counter, 50 * MS, true, 4),
        new ServiceRules(10 * MS, 0.25, 10_000 * MS, 3, 2_000 * MS));
  }

  /** Servers a, b, c ... of two cells, ready since long ago. */
  Host servers(int count) {
    for (int i = 0; i < count; i++) {
      server(String.valueOf((char) ('a' + i)), i % 2, EndpointState.READY, 0);
    }
    return this;
  }

  void server(String id, int cell, EndpointState readiness, long startedAt) {
    gateway.endpointsUpdated(
        now,
        EndpointUpdateType.DELTA,
        List.of(new Endpoint(id, 1, cell, cell, 0, readiness, startedAt)));
  }

  String request(int requestClass, double units) {
    return request(requestClass, 0, 1, units, now + 3000 * MS);
  }

  String request(int requestClass, int plan, long customer, double units, long deadline) {
    String id = "r" + ids++;
    gateway.requestReceived(
        now,
        new ClientRequest(id, requestClass, plan, customer, deadline, units, setSize, 0, false));
    return id;
  }

  /** Ends the newest attempt of a request. */
  void end(String id, Outcome outcome) {
    end(id, outcome, outcome == Outcome.OK);
  }

  void end(String id, Outcome outcome, boolean complete) {
    Sent last = attempts(id).get(attempts(id).size() - 1);
    gateway.attemptEnded(
        now,
        new AttemptResult(
            id, outcome, 20 * MS, last.server(), complete, attempts(id).size() - 1, 0, List.of()));
  }

  List<Sent> attempts(String id) {
    return sent.stream().filter(s -> s.id().equals(id)).toList();
  }

  /** Lets time pass, with the timer as often as it was asked for. */
  void pass(long span) {
    for (long until = now + span; now < until; ) {
      now += Math.min(10 * MS, until - now);
      gateway.timerFired(now, 0);
    }
  }

  @Override
  public void startAttempt(String id, String server, long patience) {
    sent.add(new Sent(id, server, patience));
  }

  @Override
  public void reject(String id, long retryAfter) {
    refused.add(id);
  }

  @Override
  public void fail(String id) {
    failed.add(id);
  }

  @Override
  public void startHealthCheck(String server) {
    assertTrue(probes, "probes are not allowed here");
    probed.add(server);
  }

  @Override
  public void addToCounter(long name, double amount, long lifetime) {
    counted.add(new Counted(name, amount));
  }

  @Override
  public void scheduleTimer(long token, long span) {}

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void log(String text) {
    logs.add(text);
  }
}
