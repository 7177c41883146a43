package merlinrouter.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Samples the candidate endpoints of an attempt. If every gateway chose among all endpoints, the
 * gateways would concentrate their requests on the same few.
 */
final class CandidateSampler {
  /** Random candidates of an attempt, as a multiple of the number of endpoints per gateway. */
  private static final int CANDIDATE_FACTOR = 3;

  private static final int MIN_CANDIDATES = 2;

  private final int gatewayCount;
  private final RecentEndpoints recent;
  private final SplittableRandom random;
  private List<EndpointTracker> ready = List.of();

  /** The ready endpoints, partly reshuffled by each sample. */
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

  /**
   * Returns a random sample of the ready endpoints, followed by the recent ones, which may repeat
   * endpoints; all ready endpoints if there are no more than the size of the sample.
   */
  List<EndpointTracker> sample() {
    int count = Math.max(MIN_CANDIDATES, CANDIDATE_FACTOR * shuffled.length / gatewayCount);
    if (count >= shuffled.length) {
      return ready;
    }
    List<EndpointTracker> sample = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      // A Fisher-Yates shuffle that stops at the size of the sample.
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
