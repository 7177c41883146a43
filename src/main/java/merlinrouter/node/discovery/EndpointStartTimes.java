package merlinrouter.node.discovery;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import merlinrouter.node.logging.NodeLog;

/**
 * Turns the wall-clock times at which servers started into moments of the node's monotonic clock.
 * Each start is turned once, when it is first told, so that a step of the wall clock neither ages a
 * server nor makes it young again. Where the wall clock stepped lately it is not known on which
 * side of the step a start was read: the younger age counts, since a server taken for too young
 * only gets less for a while. Used on the event loop only.
 */
public final class EndpointStartTimes {
  private static final long MS = 1_000_000L;

  /**
   * Less than this between two looks is the slewing of a clock that is kept in time, and no step.
   */
  private static final long LEAST_STEP = 100 * MS;

  /** The wall clock's distance from the monotonic clock, and when it was last seen. */
  private static final class Offset {
    private final long value;
    private long lastSeen;

    Offset(long value, long lastSeen) {
      this.value = value;
      this.lastSeen = lastSeen;
    }
  }

  private record Start(long wall, long moment) {}

  private final long memory;
  private final NodeLog log;
  private final ArrayDeque<Offset> offsets = new ArrayDeque<>();
  private final Map<String, Start> starts = new HashMap<>();

  /** {@code memory} is for how long a step may matter: the span of a slow start, in nanoseconds. */
  public EndpointStartTimes(long memory, NodeLog log) {
    this.memory = memory;
    this.log = log;
  }

  /**
   * PollTimestamps at both clocks, in nanoseconds; called often enough that a step is seen soon.
   */
  public void look(long monotonic, long wall) {
    long value = wall - monotonic;
    Offset latest = offsets.peekLast();
    if (latest == null || Math.abs(value - latest.value) >= LEAST_STEP) {
      if (latest != null) {
        log.count(NodeLog.Event.CLOCK_STEPPED);
      }
      offsets.add(new Offset(value, monotonic));
    } else {
      latest.lastSeen = monotonic;
    }
    while (offsets.size() > 1 && monotonic - offsets.peekFirst().lastSeen > memory) {
      offsets.pollFirst();
    }
  }

  /**
   * The moment of the monotonic clock at which a server started, at least 1; 0 for long ago.
   *
   * @param id the server
   * @param wall the wall clock's time of its start as discovery tells it, in nanoseconds; 0 for
   *     long ago
   * @param now the monotonic clock, in nanoseconds; {@link #look} was called for it
   */
  public long momentOf(String id, long wall, long now) {
    if (wall <= 0) {
      starts.remove(id);
      return 0;
    }
    Start known = starts.get(id);
    if (known != null && known.wall == wall) {
      return known.moment;
    }
    long age = Long.MAX_VALUE;
    for (Offset offset : offsets) {
      age = Math.min(age, Math.max(0, now + offset.value - wall));
    }
    long moment = Math.max(1, now - Math.min(age, now - 1));
    starts.put(id, new Start(wall, moment));
    return moment;
  }

  /** Forgets servers that the list does not name any more. */
  public void retain(Set<String> ids) {
    starts.keySet().retainAll(ids);
  }

  /** Forgets a server that is gone. */
  public void forget(String id) {
    starts.remove(id);
  }
}
