package merlinrouter.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Measurement of event-loop stalls and their parts. */
@Timeout(120)
class TimedIoHandlerTest {
  private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private final List<LoopTurn> turns = new CopyOnWriteArrayList<>();
  private final EventLoopGroup group =
      EventLoops.newSingleLoopGroup(NioIoHandler.newFactory(), turns::add);
  private final EventLoop loop = group.next();

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void taskThatBlocksTheEventLoopCountsAsTaskTime() throws Exception {
    loop.submit(TimedIoHandlerTest::stall).get();
    awaitReportOfCurrentTurn();
    assertTrue(
        turns.stream().anyMatch(turn -> turn.taskNanos() >= STALL_NANOS), () -> "turns " + turns);
  }

  @Test
  void waitingForEventsIsNoStall() throws Exception {
    loop.submit(() -> {}).get();
    loop.schedule(() -> {}, 2 * STALL_NANOS, TimeUnit.NANOSECONDS).get();
    awaitReportOfCurrentTurn();
    long activeNanos =
        turns.stream().mapToLong(turn -> turn.socketNanos() + turn.taskNanos()).sum();
    long spanNanos = turns.get(turns.size() - 1).endedAtNanos() - turns.get(0).endedAtNanos();
    long pollOverrunNanos = turns.stream().mapToLong(LoopTurn::pollOverrunNanos).sum();
    assertTrue(
        spanNanos - activeNanos - pollOverrunNanos >= STALL_NANOS,
        () -> "the wait counts as a stall in " + turns);
  }

  @Test
  void stallBeginsAtTheEndOfTheWaitForEvents() {
    LoopTurn turn = new LoopTurn(1_000, 30, 200, 70);
    assertEquals(300, turn.stalledNanos());
    assertEquals(700, turn.stalledSinceNanos());
  }

  private static void stall() {
    long startedAtNanos = System.nanoTime();
    while (System.nanoTime() - startedAtNanos < STALL_NANOS) {
      Thread.onSpinWait();
    }
  }

  /** Waits for another poll, before which the current turn is reported. */
  private void awaitReportOfCurrentTurn() throws Exception {
    CompletableFuture<Void> polled = new CompletableFuture<>();
    EventLoops.runAfterNextPoll(loop, 0, () -> polled.complete(null));
    polled.get();
  }
}
