package merlinrouter.emulator.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.peer.DiscoveryOutage;

/**
 * Injects outages of discovery in series on a separate thread: a long one, possibly the restart of
 * a node or a change of discovery's address, and soon after the return a second trouble, upon which
 * upstream servers drain. The series are drawn from a separate random source, so that the other
 * faults of a seed stay the same.
 */
final class DiscoveryOutageInjector {
  /** The second trouble of a series. */
  private enum SecondTrouble {
    /** Open watches fall silent; further ones are served. */
    WATCHES_SILENT,
    /** Open watches are reset. */
    WATCHES_RESET,
    /** Another outage, which is short. */
    OUTAGE
  }

  /** What happens to nodes between the troubles of a series. */
  private enum NodeEvent {
    NONE,
    RESTART,
    RELOAD
  }

  private static final long MIN_OUTAGE_MILLIS = 3_000;
  private static final long MAX_SECOND_OUTAGE_MILLIS = 4_000;

  /** Time from the return to the second trouble, enough for most nodes to have a watch. */
  private static final long MIN_PAUSE_MILLIS = 300;

  private static final long MAX_PAUSE_MILLIS = 3_000;
  private static final long MAX_DRAIN_DELAY_MILLIS = 4_000;
  private static final int MAX_DRAINS = 3;

  /** Longer than a drain may take to be in effect, so that a late one is seen. */
  private static final long OBSERVATION_MILLIS = 10_000;

  private final Fleet fleet;
  private final FaultInjector faultInjector;
  private final SoakUpstreams upstreams;
  private final NodeRestarter restarter;
  private final FaultLog log;
  private final SplittableRandom random;
  private final long maxOutageMillis;
  private final InjectionThread thread =
      new InjectionThread("discovery outages", this::injectSeries);

  /**
   * Creates an injector that does nothing until it is started.
   *
   * @param faultInjector starts and ends outages
   * @param maxOutage upper bound on the duration of the first outage of a series, over 3 s
   */
  DiscoveryOutageInjector(
      Fleet fleet,
      FaultInjector faultInjector,
      SoakUpstreams upstreams,
      NodeRestarter restarter,
      FaultLog log,
      SplittableRandom random,
      Duration maxOutage) {
    this.fleet = fleet;
    this.faultInjector = faultInjector;
    this.upstreams = upstreams;
    this.restarter = restarter;
    this.log = log;
    this.random = random;
    maxOutageMillis = maxOutage.toMillis();
  }

  /** Starts to inject series of outages. */
  void start() {
    thread.start();
  }

  /** Stops the injection and waits for the series in progress. */
  void stop() throws InterruptedException {
    thread.stop();
  }

  private void injectSeries() throws IOException, InterruptedException {
    SplittableRandom draws = random.split();
    DiscoveryOutage form = draw(DiscoveryOutage.values(), draws);
    injectOutage(form, draws.nextLong(MIN_OUTAGE_MILLIS, maxOutageMillis));
    disturbNode(draw(NodeEvent.values(), draws), draws);
    Thread.sleep(draws.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
    injectSecondTrouble(draw(SecondTrouble.values(), draws), draws);
    Thread.sleep(draws.nextLong(MAX_DRAIN_DELAY_MILLIS));
    int drains = draws.nextInt(1, MAX_DRAINS + 1);
    for (int i = 0; i < drains; i++) {
      upstreams.replace(upstreams.pick(draws.nextInt(Integer.MAX_VALUE)));
    }
    log.recordStep(drains + " servers drain after the series");
    Thread.sleep(OBSERVATION_MILLIS);
  }

  private static <T> T draw(T[] values, SplittableRandom draws) {
    return values[draws.nextInt(values.length)];
  }

  private void injectOutage(DiscoveryOutage form, long durationMillis)
      throws IOException, InterruptedException {
    log.recordStart(form, "for " + durationMillis + " ms");
    faultInjector.awaitAndStartOutage(form);
    Thread.sleep(durationMillis);
    faultInjector.endOutage();
    log.recordStep(form + " ends");
  }

  private void injectSecondTrouble(SecondTrouble trouble, SplittableRandom draws)
      throws IOException, InterruptedException {
    if (trouble == SecondTrouble.OUTAGE) {
      injectOutage(
          draw(DiscoveryOutage.values(), draws),
          draws.nextLong(MIN_OUTAGE_MILLIS, MAX_SECOND_OUTAGE_MILLIS));
      return;
    }
    log.recordStart(trouble, "");
    if (trouble == SecondTrouble.WATCHES_SILENT) {
      fleet.discovery().silenceConnections();
    } else {
      fleet.discovery().resetConnections();
    }
  }

  private void disturbNode(NodeEvent event, SplittableRandom draws)
      throws IOException, InterruptedException {
    Fleet.Node node = fleet.nodes().get(draws.nextInt(fleet.nodes().size()));
    log.recordStep("node event " + event + " at " + node.name());
    if (event == NodeEvent.RESTART) {
      restarter.restart(node);
    } else if (event == NodeEvent.RELOAD) {
      List<String> addresses = List.of(fleet.discovery().address(), fleet.secondDiscoveryAddress());
      fleet.configure(node, addresses.get(draws.nextInt(addresses.size())));
      restarter.reload(node);
    }
  }
}
