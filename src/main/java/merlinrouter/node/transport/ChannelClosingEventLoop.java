package merlinrouter.node.transport;

import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;

/**
 * An event loop that has closed all its channels when it terminates.
 *
 * <p>Netty's event loop checks for a requested shutdown before it runs its tasks, and then closes
 * its channels; it checks again after the tasks, and then terminates. If a shutdown without a quiet
 * period is requested between the two checks, it terminates with its channels open, and their file
 * descriptors stay open as long as the process runs.
 */
final class ChannelClosingEventLoop extends SingleThreadIoEventLoop {
  ChannelClosingEventLoop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory handlers) {
    super(parent, executor, handlers);
  }

  @Override
  protected boolean confirmShutdown() {
    if (isShuttingDown()) {
      ioHandler().prepareToDestroy();
    }
    return super.confirmShutdown();
  }
}
