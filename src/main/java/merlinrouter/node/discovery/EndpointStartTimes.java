package merlinrouter.node.discovery;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.logging.NodeLog;

/**
 * Converts the wall-clock times at which endpoints started into moments of the node's monotonic
 * clock. Each time is converted only when it is first reported, so that a step of the wall clock
 * does not change an endpoint's age. After a recent step it is unknown on which side of the step a
 * start was read: the younger age counts, since an endpoint that is taken for too young only gets
 * fewer requests for a while. Used on the event loop only.
 */
public final class EndpointStartTimes {
  /**
   * A smaller difference between two observations is the slewing of a synchronized clock and no
   * step.
   */
  private static final long MIN_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The wall clock minus the monotonic clock, and when that was last observed. */
  private static final class ClockOffset {
    private final long offsetNanos;
    private long lastObservedNanos;

    ClockOffset(long offsetNanos, long lastObservedNanos) {
      this.offsetNanos = offsetNanos;
      this.lastObservedNanos = lastObservedNanos;
    }
  }

  private record StartTime(long wallNanos, long monotonicNanos) {}

  private final long stepRelevanceNanos;
  private final NodeLog log;

  /** The offsets that may still matter, the latest last. */
  private final ArrayDeque<ClockOffset> offsets = new ArrayDeque<>();

  private final Map<String, StartTime> startTimes = new HashMap<>();

  /**
   * Creates a converter that knows no endpoint.
   *
   * @param stepRelevanceNanos how long a step may matter: the duration of a slow start
   * @param log counts the steps of the wall clock
   */
  public EndpointStartTimes(long stepRelevanceNanos, NodeLog log) {
    this.stepRelevanceNanos = stepRelevanceNanos;
    this.log = log;
  }

  /** Compares both clocks, read in nanoseconds; called often enough to notice a step soon. */
  public void observeClocks(long monotonicNanos, long wallNanos) {
    long offsetNanos = wallNanos - monotonicNanos;
    ClockOffset latest = offsets.peekLast();
    if (latest == null || Math.abs(offsetNanos - latest.offsetNanos) >= MIN_STEP_NANOS) {
      if (latest != null) {
        log.count(NodeLog.Event.CLOCK_STEPPED);
      }
      offsets.add(new ClockOffset(offsetNanos, monotonicNanos));
    } else {
      latest.lastObservedNanos = monotonicNanos;
    }
    while (offsets.size() > 1
        && monotonicNanos - offsets.peekFirst().lastObservedNanos > stepRelevanceNanos) {
      offsets.pollFirst();
    }
  }

  /**
   * Returns the moment of the monotonic clock at which an endpoint started, at least 1; 0 for long
   * ago.
   *
   * @param endpointId the endpoint
   * @param wallNanos the wall-clock time of its start as discovery reports it; 0 for long ago
   * @param nowNanos the monotonic clock; {@link #observeClocks} was called for it
   */
  public long toMonotonicNanos(String endpointId, long wallNanos, long nowNanos) {
    if (wallNanos <= 0) {
      startTimes.remove(endpointId);
      return 0;
    }
    StartTime known = startTimes.get(endpointId);
    if (known != null && known.wallNanos == wallNanos) {
      return known.monotonicNanos;
    }
    long ageNanos = Long.MAX_VALUE;
    for (ClockOffset offset : offsets) {
      ageNanos = Math.min(ageNanos, Math.max(0, nowNanos + offset.offsetNanos - wallNanos));
    }
    long monotonicNanos = Math.max(1, nowNanos - Math.min(ageNanos, nowNanos - 1));
    startTimes.put(endpointId, new StartTime(wallNanos, monotonicNanos));
    return monotonicNanos;
  }

  /** Forgets endpoints that the list does not name any more. */
  public void retain(Set<String> endpointIds) {
    startTimes.keySet().retainAll(endpointIds);
  }

  /** Forgets an endpoint that was removed. */
  public void forget(String endpointId) {
    startTimes.remove(endpointId);
  }
}
