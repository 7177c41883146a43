package merlinrouter.node.discovery;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.logging.NodeLog;

/**
 * Converts the wall-clock times at which endpoints started to the node's monotonic clock. Each time
 * is converted only when it is first reported, so that a step of the wall clock does not change an
 * endpoint's age. After a recent step it is unknown whether a start time was read before or after
 * the step. The younger of the possible ages is then used, since an endpoint whose age is
 * underestimated only gets fewer requests for a while. Used on the event loop only.
 */
public final class EndpointStartTimes {
  /**
   * Minimum change since the latest recorded clock offset that is taken for a step. Smaller changes
   * are the slewing of a synchronized clock, but count as a step once they add up to this.
   */
  private static final long MIN_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The wall clock minus the monotonic clock, and when this offset was last observed. */
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

  /** The offsets that may apply to newly reported start times, the latest last. */
  private final ArrayDeque<ClockOffset> offsets = new ArrayDeque<>();

  private final Map<String, StartTime> startTimes = new HashMap<>();

  /**
   * Creates a converter without any start times.
   *
   * @param stepRelevanceNanos how long a step affects conversions: the duration of a slow start
   * @param log the log that counts steps of the wall clock
   */
  public EndpointStartTimes(long stepRelevanceNanos, NodeLog log) {
    this.stepRelevanceNanos = stepRelevanceNanos;
    this.log = log;
  }

  /**
   * Compares readings of both clocks to detect steps of the wall clock. Must be called
   * periodically, so that a step is detected soon.
   */
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
   * Returns the time on the monotonic clock at which an endpoint started: at least 1, or 0 if it
   * started long ago.
   *
   * @param endpointId id of the endpoint
   * @param wallNanos wall-clock time of its start as reported by discovery; 0 for long ago
   * @param nowNanos current time on the monotonic clock, already passed to {@link #observeClocks}
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

  /** Removes the start times of all endpoints except those given. */
  public void retain(Set<String> endpointIds) {
    startTimes.keySet().retainAll(endpointIds);
  }

  /** Removes the start time of an endpoint that has been removed from the list. */
  public void forget(String endpointId) {
    startTimes.remove(endpointId);
  }
}
