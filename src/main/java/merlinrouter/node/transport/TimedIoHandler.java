package merlinrouter.node.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * Measures the turns of its event loop, and delegates the sockets to another handler. Used on the
 * event loop only, except for {@link #wakeup}.
 */
final class TimedIoHandler implements IoHandler {
  private final IoHandler delegate;
  private final TurnListener listener;
  private final TimedContext context = new TimedContext();
  private boolean polledBefore;
  private long socketsHandledAtNanos;
  private long pollOverrunNanos;
  private long socketNanos;

  /** Creates a handler that delegates the sockets to {@code delegate}. */
  TimedIoHandler(IoHandler delegate, TurnListener listener) {
    this.delegate = delegate;
    this.listener = listener;
  }

  @Override
  public int run(IoHandlerContext loopContext) {
    long startedAtNanos = System.nanoTime();
    if (polledBefore) {
      long taskNanos = startedAtNanos - socketsHandledAtNanos;
      listener.turnEnded(new LoopTurn(startedAtNanos, pollOverrunNanos, socketNanos, taskNanos));
    }
    polledBefore = true;
    return poll(loopContext);
  }

  private int poll(IoHandlerContext loopContext) {
    long startedAtNanos = System.nanoTime();
    long maxWaitNanos =
        loopContext.canBlock() ? Math.max(0, loopContext.delayNanos(startedAtNanos)) : 0;
    context.loopContext = loopContext;
    socketNanos = 0;
    final int handled = delegate.run(context);
    socketsHandledAtNanos = System.nanoTime();
    long waitedNanos = socketsHandledAtNanos - startedAtNanos - socketNanos;
    pollOverrunNanos = Math.max(0, waitedNanos - maxWaitNanos);
    return handled;
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(handle);
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> handleType) {
    return delegate.isCompatible(handleType);
  }

  /** The event loop's context, which also records the time spent on socket events. */
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
