package merlinrouter.node.monitoring;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.LoopTurn;
import merlinrouter.node.transport.TurnListener;

/**
 * Measures the stalls of the event loop, logs them with the times of the final responses, and runs
 * a periodic task. Used on the event loop only.
 */
public final class EventLoopMonitor implements TurnListener {
  private static final long PERIODIC_TASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The rules of the service allow for stalls up to this; longer ones are counted and logged. */
  private static final long MAX_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Shorter stalls are not recorded: every turn that has work to do takes some time. */
  private static final long MIN_RECORDED_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Thread times are sampled again after this, so that those logged with a stall are recent. */
  private static final long THREAD_SAMPLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** How many stalls are kept for the log lines of the late responses that they delayed. */
  private static final int MAX_RECENT_STALLS = 16;

  private final NodeLog log;
  private final ResponseTimes responseTimes;
  private final ThreadTimes threadTimes = new ThreadTimes();
  private final List<LoopStall> recentStalls = new ArrayList<>();
  private Runnable periodicTask;
  private LoopStall longestStall;
  private boolean started;
  private long startedAtNanos;

  /** Creates a monitor that measures nothing before {@link #start}. */
  public EventLoopMonitor(NodeLog log) {
    this.log = log;
    responseTimes = new ResponseTimes(log);
  }

  /** Returns the recorder for the times of the final responses. */
  public ResponseTimes responseTimes() {
    return responseTimes;
  }

  /**
   * Starts measuring. Called on the event loop.
   *
   * @param task the periodic task, which is run every half second
   */
  public void start(EventLoop loop, Runnable task) {
    periodicTask = task;
    threadTimes.start();
    started = true;
    startedAtNanos = System.nanoTime();
    loop.scheduleAtFixedRate(
        this::runPeriodicTask,
        PERIODIC_TASK_INTERVAL_NANOS,
        PERIODIC_TASK_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void turnEnded(LoopTurn turn) {
    if (!started || turn.stalledSinceNanos() - startedAtNanos < 0) {
      return;
    }
    if (turn.stalledNanos() >= MIN_RECORDED_STALL_NANOS) {
      recordStall(turn);
    } else {
      threadTimes.sampleIfOlderThan(THREAD_SAMPLE_INTERVAL_NANOS);
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
      log.writeLine("event loop stalled for " + stall.describe());
    }
  }

  private void runPeriodicTask() {
    periodicTask.run();
    if (log.writeCountsIfDue()) {
      reportInterval();
    }
  }

  private void reportInterval() {
    String responses = responseTimes.describeInterval();
    String stall = longestStall == null ? "" : "longest stall " + longestStall.describe();
    longestStall = null;
    if (!responses.isEmpty() || !stall.isEmpty()) {
      String separator = responses.isEmpty() || stall.isEmpty() ? "" : ", ";
      log.writeLine("timing: " + responses + separator + stall);
    }
  }
}
