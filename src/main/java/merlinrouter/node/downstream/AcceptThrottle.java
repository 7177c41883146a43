package merlinrouter.node.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.EventLoops;

/**
 * Pauses and resumes accepting of client connections, and tracks since when a connection that is
 * accepted now may have been waiting in the kernel's backlog.
 *
 * <p>Replaces the handling of failed accepts in Netty's {@code ServerBootstrap}, which stops
 * accepting for a second: the requests of all clients that have connected would time out.
 */
final class AcceptThrottle extends ChannelInboundHandlerAdapter {
  /**
   * Long enough that a persistent failure, such as a full descriptor table, does not saturate the
   * event loop, and short compared with the shortest client timeout.
   */
  private static final long FAILURE_PAUSE_MILLIS = 10;

  private final NodeLog log;
  private final LongSupplier previousPollNanos;

  /** Whether the backlog may hold connections that a poll before the latest one did not accept. */
  private boolean backlogged;

  /** The earliest time at which one of these may have connected. */
  private long backloggedSinceNanos;

  /** Whether the latest read ended the wait; an accept that fails is reported after its read. */
  private boolean endedByLatestRead;

  private int acceptedInThisPoll;
  private int acceptedInLatestRead;
  private boolean acceptedSinceCheckScheduled;

  /** How many backlog checks are scheduled; each runs after a whole poll of the sockets. */
  private int pendingChecks;

  /**
   * Creates a throttle that does not pause accepting.
   *
   * @param previousPollNanos when the event loop polled its sockets before its latest poll
   */
  AcceptThrottle(NodeLog log, LongSupplier previousPollNanos) {
    this.log = log;
    this.previousPollNanos = previousPollNanos;
  }

  /** Returns whether accepting is paused, so that connections may be waiting in the backlog. */
  boolean isPaused(Channel listeningChannel) {
    return !listeningChannel.config().isAutoRead();
  }

  /**
   * Returns whether the backlog may hold connections that have not been accepted: accepting is
   * paused, or no whole poll has followed the last pause or the last poll that reached its maximum.
   */
  boolean mayHaveUnacceptedConnections(Channel listeningChannel) {
    return isPaused(listeningChannel) || pendingChecks > 0;
  }

  /** Returns the earliest time at which a connection that is accepted now may have connected. */
  long waitingSinceNanos() {
    long previousPoll = previousPollNanos.getAsLong();
    boolean isEarlier = backlogged && backloggedSinceNanos - previousPoll < 0;
    return isEarlier ? backloggedSinceNanos : previousPoll;
  }

  /**
   * Stops accepting until {@link #resume}.
   *
   * @param sinceNanos the earliest time from which connections may wait in the backlog
   */
  void pause(Channel listeningChannel, long sinceNanos) {
    addBacklog(sinceNanos);
    listeningChannel.config().setAutoRead(false);
  }

  private void addBacklog(long sinceNanos) {
    if (!backlogged || sinceNanos - backloggedSinceNanos < 0) {
      backlogged = true;
      backloggedSinceNanos = sinceNanos;
    }
  }

  /** Resumes accepting if it is paused. */
  void resume(Channel listeningChannel) {
    if (!isPaused(listeningChannel)) {
      return;
    }
    listeningChannel.config().setAutoRead(true);
    scheduleBacklogCheck(listeningChannel);
  }

  private void scheduleBacklogCheck(Channel listeningChannel) {
    acceptedSinceCheckScheduled = false;
    pendingChecks++;
    EventLoops.runAfterNextPoll(
        listeningChannel.eventLoop(), 0, () -> checkBacklog(listeningChannel));
  }

  private void checkBacklog(Channel listeningChannel) {
    pendingChecks--;
    // A poll that accepted no connection shows that the backlog was empty.
    if (pendingChecks == 0 && !acceptedSinceCheckScheduled && !isPaused(listeningChannel)) {
      backlogged = false;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object accepted) {
    acceptedInThisPoll++;
    acceptedSinceCheckScheduled = true;
    context.fireChannelRead(accepted);
  }

  /** A poll that accepts fewer connections than its maximum has emptied the backlog. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    Channel listeningChannel = context.channel();
    endedByLatestRead = false;
    MaxMessagesRecvByteBufAllocator allocator = listeningChannel.config().getRecvByteBufAllocator();
    if (acceptedInThisPoll >= allocator.maxMessagesPerRead()) {
      addBacklog(previousPollNanos.getAsLong());
      scheduleBacklogCheck(listeningChannel);
    } else if (acceptedInThisPoll > 0 && !isPaused(listeningChannel)) {
      endedByLatestRead = backlogged;
      backlogged = false;
    }
    acceptedInLatestRead = acceptedInThisPoll;
    acceptedInThisPoll = 0;
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    log.count(NodeLog.Event.ACCEPT_FAILED);
    // The read did not empty the backlog after all.
    backlogged |= endedByLatestRead;
    endedByLatestRead = false;
    Channel listeningChannel = context.channel();
    if (acceptedInLatestRead > 0 && !isPaused(listeningChannel)) {
      // The failure does not persist; a pause for each would let a long backlog wait for seconds.
      addBacklog(previousPollNanos.getAsLong());
      scheduleBacklogCheck(listeningChannel);
      return;
    }
    pause(listeningChannel, previousPollNanos.getAsLong());
    listeningChannel
        .eventLoop()
        .schedule(() -> resume(listeningChannel), FAILURE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
  }
}
