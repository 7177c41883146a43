package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Slow start is budgeted for the fleet: a cold server falls under the sum of what all gateways
 * send, each of which knows its own part only. All that varies comes from seeds.
 */
class SlowStartTest {
  /**
   * As the tests' settings say: from a quarter, warm after 10 s, falls over three times that for 2
   * s.
   */
  private static final double FROM = 0.25, MULTIPLE = 3;

  private static final long WARM = 10 * PER_SECOND,
      SPAN = 2 * PER_SECOND,
      WORK = 100 * PER_MILLI,
      STEP = 10 * PER_MILLI;

  /** What a warm server does: so many requests of mean work at once. */
  private static final int SLOTS = 2;

  /** A fleet on one clock, whose servers answer each request after its work. */
  private static final class Fleet {
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final List<Deque<SimulatedHost.Attempt>> out = new ArrayList<>();
    private final List<Deque<Long>> due = new ArrayList<>();
    private final int[] taken;
    private final List<Long> toCold = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(11);
    private long served, begun;

    Fleet(int gateways) {
      taken = new int[gateways];
      for (int i = 0; i < gateways; i++) {
        hosts.add(new SimulatedHost(UNLIMITED, gateways, i, false, 100 + i, false));
        out.add(new ArrayDeque<>());
        due.add(new ArrayDeque<>());
      }
    }

    long now() {
      return hosts.get(0).nowNanos;
    }

    void servers(String prefix, int count, long startedAt) {
      for (SimulatedHost host : hosts) {
        for (int i = 0; i < count; i++) {
          host.updateEndpoint(prefix + i, 0, EndpointState.READY, startedAt);
        }
      }
    }

    /** So many requests a second over all gateways, by chance, for a span. */
    void ask(double rate, long span) {
      for (long until = now() + span; now() < until; ) {
        double expected = rate * STEP / 1e9;
        for (; expected > 0 && random.nextDouble() < expected; expected--) {
          hosts.get(random.nextInt(hosts.size())).request(IDEMPOTENT, 1);
          begun++;
        }
        step();
      }
    }

    /** One request at each gateway, all in the same moment. */
    void burst() {
      for (SimulatedHost host : hosts) {
        host.request(IDEMPOTENT, 1);
        begun++;
      }
      step();
    }

    private void step() {
      for (int i = 0; i < hosts.size(); i++) {
        SimulatedHost host = hosts.get(i);
        host.advance(STEP);
        while (!due.get(i).isEmpty() && due.get(i).peek() <= host.nowNanos) {
          due.get(i).poll();
          SimulatedHost.Attempt sent = out.get(i).poll();
          served++;
          host.gateway.attemptEnded(
              host.nowNanos,
              new AttemptResult(
                  sent.requestId(), Outcome.OK, WORK, sent.endpointId(), true, 0, 0, List.of()));
        }
        for (; taken[i] < host.attempts.size(); taken[i]++) {
          SimulatedHost.Attempt sent = host.attempts.get(taken[i]);
          out.get(i).add(sent);
          due.get(i).add(host.nowNanos + WORK);
          if (sent.endpointId().equals("cold0")) {
            toCold.add(host.nowNanos);
          }
        }
      }
    }

    /**
     * Holds each window's requests to the cold server against what it may get, and some for chance.
     */
    void check(long startedAt) {
      Collections.sort(toCold);
      assertTrue(!toCold.isEmpty(), "a cold server must warm");
      for (int first = 0, last = 0; last < toCold.size(); last++) {
        while (toCold.get(last) - toCold.get(first) >= SPAN) {
          first++;
        }
        double age = Math.max(0, toCold.get(first) - startedAt) / (double) WARM;
        double capacity = SLOTS * (FROM + (1 - FROM) * Math.min(1, age));
        double budget = MULTIPLE * capacity * SPAN / WORK;
        int got = last - first + 1;
        assertTrue(
            got <= budget + 2 * Math.sqrt(budget) + 2,
            got
                + " within "
                + SPAN / PER_MILLI
                + " ms, of a budget of "
                + budget
                + ", "
                + (toCold.get(first) - startedAt) / PER_MILLI
                + " ms after the start");
      }
    }
  }

  @Test
  void oneColdServerAmongWarmOnesHoldsUnderABusyFleetOf120() {
    Fleet fleet = new Fleet(120);
    fleet.servers("warm", 9, 0);
    fleet.ask(150, 5 * PER_SECOND);
    long start = fleet.now();
    fleet.servers("cold", 1, start);
    fleet.ask(150, 10 * PER_SECOND);
    fleet.check(start);
  }

  /** What each had saved up in a quiet spell, all once sent in the same moment. */
  @Test
  void aBurstBehindAQuietSpellDoesNotSpendWhatAllHaveSavedUp() {
    Fleet fleet = new Fleet(120);
    fleet.servers("warm", 3, 0);
    fleet.ask(50, 5 * PER_SECOND);
    long start = fleet.now();
    fleet.servers("cold", 1, start);
    for (int i = 0; i < 4; i++) {
      fleet.ask(60, 500 * PER_MILLI);
      fleet.ask(2, 1500 * PER_MILLI);
      fleet.burst();
    }
    fleet.check(start);
  }

  /** With no warm one left each gateway once sent each cold one as much as it sends in all. */
  @Test
  void aFleetThatComesBackColdAsAWholeIsNotSentWhatAWarmOneBears() {
    Fleet fleet = new Fleet(120);
    fleet.servers("warm", 4, 0);
    fleet.ask(70, 5 * PER_SECOND);
    long start = fleet.now();
    for (SimulatedHost host : fleet.hosts) {
      host.gateway.endpointsUpdated(host.nowNanos, EndpointUpdateType.FULL, List.of());
    }
    fleet.servers("cold", 4, start);
    fleet.ask(120, 8 * PER_SECOND);
    fleet.check(start);
  }

  /**
   * A gateway that has just started had sent nothing yet, and so sent a cold server nothing ever.
   */
  @Test
  void gatewaysThatStartBesideColdServersOnlyServeAllTheSame() {
    Fleet fleet = new Fleet(30);
    long start = fleet.now();
    fleet.servers("cold", 6, start);
    fleet.ask(20, 8 * PER_SECOND);
    fleet.check(start);
    assertTrue(fleet.served > fleet.begun / 8, "served " + fleet.served + " of " + fleet.begun);
  }
}
