package merlinrouter.node.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * Measures the turns of the event loop that it serves, and leaves the sockets to another handler.
 * Used on the event loop only, but for {@link #wakeup}.
 */
final class TimedIoHandler implements IoHandler {
  private final IoHandler sockets;
  private final TurnListener listener;
  private final TimedContext context = new TimedContext();
  private boolean turned;
  private long socketsHandledAtNanos;
  private long pollOverrunNanos;
  private long socketNanos;

  /** Creates a handler that leaves the sockets to {@code sockets}. */
  TimedIoHandler(IoHandler sockets, TurnListener listener) {
    this.sockets = sockets;
    this.listener = listener;
  }

  @Override
  public int run(IoHandlerContext loopContext) {
    long startedAtNanos = System.nanoTime();
    if (turned) {
      long taskNanos = startedAtNanos - socketsHandledAtNanos;
      listener.turnEnded(new LoopTurn(startedAtNanos, pollOverrunNanos, socketNanos, taskNanos));
    }
    turned = true;
    return poll(loopContext);
  }

  private int poll(IoHandlerContext loopContext) {
    long startedAtNanos = System.nanoTime();
    long mayWaitNanos =
        loopContext.canBlock() ? Math.max(0, loopContext.delayNanos(startedAtNanos)) : 0;
    context.loopContext = loopContext;
    socketNanos = 0;
    final int handled = sockets.run(context);
    socketsHandledAtNanos = System.nanoTime();
    long waitedNanos = socketsHandledAtNanos - startedAtNanos - socketNanos;
    pollOverrunNanos = Math.max(0, waitedNanos - mayWaitNanos);
    return handled;
  }

  @Override
  public void initialize() {
    sockets.initialize();
  }

  @Override
  public void prepareToDestroy() {
    sockets.prepareToDestroy();
  }

  @Override
  public void destroy() {
    sockets.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return sockets.register(handle);
  }

  @Override
  public void wakeup() {
    sockets.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> handleType) {
    return sockets.isCompatible(handleType);
  }

  /** The event loop's context, which also takes how long the sockets' events were handled. */
  private final class TimedContext implements IoHandlerContext {
    private IoHandlerContext loopContext;

    @Override
    public boolean canBlock() {
      return loopContext.canBlock();
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
      return loopContext.delayNanos(currentTimeNanos);
    }

    @Override
    public long deadlineNanos() {
      return loopContext.deadlineNanos();
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return true;
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
      socketNanos += activeNanos;
      if (loopContext.shouldReportActiveIoTime()) {
        loopContext.reportActiveIoTime(activeNanos);
      }
    }
  }
}
