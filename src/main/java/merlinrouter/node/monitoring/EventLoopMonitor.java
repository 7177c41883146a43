package merlinrouter.node.monitoring;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.LoopTurn;
import merlinrouter.node.transport.TurnListener;

/**
 * Measures the event loop's stalls, and runs what has to be done regularly. Used on the event loop
 * only.
 */
public final class EventLoopMonitor implements TurnListener {
  private static final long REGULAR_TASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A longer stall is counted: the rules of the service allow for this one. */
  private static final long MAX_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** A shorter stall is not reported: every turn that has work to do takes some time. */
  private static final long MIN_REPORTED_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** How far back the threads' times may go that are reported with a stall. */
  private static final long THREAD_TIMES_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** How many stalls are remembered for the requests that crossed them. */
  private static final int MAX_RECENT_STALLS = 16;

  private final NodeLog log;
  private final ResponseTimes responseTimes;
  private final ThreadTimes threadTimes = new ThreadTimes();
  private final List<LoopStall> recentStalls = new ArrayList<>();
  private Runnable regularTask;
  private LoopStall longestStall;
  private boolean started;
  private long startedAtNanos;

  /** Creates a monitor; {@link #start} is still to be called. */
  public EventLoopMonitor(NodeLog log) {
    this.log = log;
    responseTimes = new ResponseTimes(log);
  }

  /** Takes the times of the final responses. */
  public ResponseTimes responseTimes() {
    return responseTimes;
  }

  /**
   * Starts to measure; called on the event loop.
   *
   * @param task is run every half second
   */
  public void start(EventLoop loop, Runnable task) {
    regularTask = task;
    threadTimes.start();
    started = true;
    startedAtNanos = System.nanoTime();
    loop.scheduleAtFixedRate(
        this::runRegularTask,
        REGULAR_TASK_INTERVAL_NANOS,
        REGULAR_TASK_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void turnEnded(LoopTurn turn) {
    if (!started || turn.stalledSinceNanos() - startedAtNanos < 0) {
      return;
    }
    if (turn.stalledNanos() >= MIN_REPORTED_STALL_NANOS) {
      recordStall(turn);
    } else {
      threadTimes.sampleIfOlderThan(THREAD_TIMES_INTERVAL_NANOS);
    }
    if (responseTimes.hasUnreportedLateResponses()) {
      responseTimes.reportLateResponses(recentStalls);
    }
  }

  private void recordStall(LoopTurn turn) {
    LoopStall stall = new LoopStall(turn, threadTimes.describeSinceSample());
    if (recentStalls.size() >= MAX_RECENT_STALLS) {
      recentStalls.remove(0);
    }
    recentStalls.add(stall);
    if (longestStall == null || turn.stalledNanos() > longestStall.turn().stalledNanos()) {
      longestStall = stall;
    }
    if (turn.stalledNanos() > MAX_STALL_NANOS) {
      log.count(NodeLog.Event.EVENT_LOOP_STALLED);
      log.line("event loop stalled for " + stall.describe());
    }
  }

  private void runRegularTask() {
    regularTask.run();
    if (log.tick()) {
      reportInterval();
    }
  }

  private void reportInterval() {
    String responses = responseTimes.describeInterval();
    String stall = longestStall == null ? "" : "longest stall " + longestStall.describe();
    longestStall = null;
    if (!responses.isEmpty() || !stall.isEmpty()) {
      String separator = responses.isEmpty() || stall.isEmpty() ? "" : ", ";
      log.line("timing: " + responses + separator + stall);
    }
  }
}
