package merlinrouter.node.transport;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Netty's default select strategy, which also records when the event loop polls its sockets. Used
 * on the event loop only.
 */
public final class PollTimestamps implements SelectStrategy {
  private long previousPollNanos = System.nanoTime();
  private long lastPollNanos = previousPollNanos;
  private long pollCount;

  @Override
  public int calculateStrategy(IntSupplier pollWithoutBlocking, boolean hasTasks) throws Exception {
    pollCount++;
    previousPollNanos = lastPollNanos;
    lastPollNanos = System.nanoTime();
    return hasTasks ? pollWithoutBlocking.get() : SelectStrategy.SELECT;
  }

  /**
   * Returns the {@link System#nanoTime} at which the poll before the latest one began: events that
   * the latest poll returned occurred after it.
   */
  public long previousPollNanos() {
    return previousPollNanos;
  }

  /** Returns how many polls have begun, which is the number of the event loop's current turn. */
  public long pollCount() {
    return pollCount;
  }
}
