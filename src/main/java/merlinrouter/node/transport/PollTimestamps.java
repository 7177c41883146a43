package merlinrouter.node.transport;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * When the loop last looked at its sockets: the codec's strategy of looking, which also takes the
 * time.
 */
public final class PollTimestamps implements SelectStrategy {
  private long before = System.nanoTime(), last = before;

  @Override
  public int calculateStrategy(IntSupplier lookNow, boolean hasTasks) throws Exception {
    before = last;
    last = System.nanoTime();
    return hasTasks ? lookNow.get() : SelectStrategy.SELECT;
  }

  /** What the present look brought was not there yet when the one before it began. */
  public long before() {
    return before;
  }
}
