package merlinrouter.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Samples the endpoints that an attempt chooses among. Gateways that ranked all endpoints alike
 * would send all their requests to the same few.
 */
final class CandidateSampler {
  /** Candidates of an attempt for each endpoint per gateway. */
  private static final int CANDIDATES_PER_ENDPOINT_SHARE = 3;

  private static final int MIN_CANDIDATES = 2;

  private final int gatewayCount;
  private final RecentEndpoints recent;
  private final SplittableRandom random;
  private List<EndpointTracker> ready = List.of();

  /** The ready endpoints in an order that each sample shuffles further. */
  private EndpointTracker[] shuffled = {};

  CandidateSampler(int gatewayCount, RecentEndpoints recent, SplittableRandom random) {
    this.gatewayCount = gatewayCount;
    this.recent = recent;
    this.random = random;
  }

  /** Sets the endpoints that take requests. */
  void setReady(List<EndpointTracker> trackers) {
    ready = trackers;
    shuffled = trackers.toArray(EndpointTracker[]::new);
  }

  /** Returns some endpoints at random and those that answered last; all, if there are few. */
  List<EndpointTracker> sample() {
    int count =
        Math.max(MIN_CANDIDATES, CANDIDATES_PER_ENDPOINT_SHARE * shuffled.length / gatewayCount);
    if (count >= shuffled.length) {
      return ready;
    }
    List<EndpointTracker> sample = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      // A Fisher-Yates shuffle, only as far as it is needed.
      int drawn = i + random.nextInt(shuffled.length - i);
      EndpointTracker tracker = shuffled[drawn];
      shuffled[drawn] = shuffled[i];
      shuffled[i] = tracker;
      sample.add(tracker);
    }
    recent.addReadyTo(sample);
    return sample;
  }
}
