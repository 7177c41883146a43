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
 * Pauses and resumes accepting, and knows since when a connection that is accepted now may have
 * waited for it.
 *
 * <p>It replaces the handling of failed accepts in Netty's {@code ServerBootstrap}, which stops
 * accepting for a second: requests of all clients that have connected would run out of time.
 */
final class AcceptThrottle extends ChannelInboundHandlerAdapter {
  /**
   * Keeps a lasting failure, such as a full descriptor table, from occupying the event loop, and is
   * short against the shortest timeout of a client.
   */
  private static final long FAILURE_PAUSE_MILLIS = 10;

  private final NodeLog log;
  private final LongSupplier previousPollNanos;

  /** Whether connections may wait that a poll before the latest one did not accept. */
  private boolean backlogged;

  /** The earliest moment at which these may have started to wait. */
  private long backloggedSinceNanos;

  private int acceptedInThisPoll;
  private boolean acceptedSinceLastCheck;

  /** How many checks await a whole poll of the sockets. */
  private int pendingChecks;

  /**
   * Creates a throttle that does not pause accepting.
   *
   * @param previousPollNanos when the event loop polled its sockets before the present poll
   */
  AcceptThrottle(NodeLog log, LongSupplier previousPollNanos) {
    this.log = log;
    this.previousPollNanos = previousPollNanos;
  }

  /** Whether connections are not accepted at present: some may wait in the kernel. */
  boolean isPaused(Channel listeningChannel) {
    return !listeningChannel.config().isAutoRead();
  }

  /** Whether connections may wait in the kernel that no poll since the last pause could accept. */
  boolean mayHoldConnectionsBack(Channel listeningChannel) {
    return isPaused(listeningChannel) || pendingChecks > 0;
  }

  /** The earliest moment at which a connection that is accepted now may have started to wait. */
  long waitingSinceNanos() {
    long previousPoll = previousPollNanos.getAsLong();
    boolean isEarlier = backlogged && backloggedSinceNanos - previousPoll < 0;
    return isEarlier ? backloggedSinceNanos : previousPoll;
  }

  /** Stops accepting until {@link #resume}: connections that arrive after {@code since} wait. */
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

  /** Goes on accepting, if paused. */
  void resume(Channel listeningChannel) {
    if (!isPaused(listeningChannel)) {
      return;
    }
    listeningChannel.config().setAutoRead(true);
    checkAfterNextPoll(listeningChannel);
  }

  private void checkAfterNextPoll(Channel listeningChannel) {
    acceptedSinceLastCheck = false;
    pendingChecks++;
    EventLoops.runAfterNextPoll(listeningChannel.eventLoop(), 0, () -> polled(listeningChannel));
  }

  private void polled(Channel listeningChannel) {
    pendingChecks--;
    // If the poll accepted no connection, none had waited.
    if (pendingChecks == 0 && !acceptedSinceLastCheck && !isPaused(listeningChannel)) {
      backlogged = false;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object accepted) {
    acceptedInThisPoll++;
    acceptedSinceLastCheck = true;
    context.fireChannelRead(accepted);
  }

  /** A poll that accepts fewer connections than it may has accepted all that waited. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    Channel listeningChannel = context.channel();
    MaxMessagesRecvByteBufAllocator allocator = listeningChannel.config().getRecvByteBufAllocator();
    if (acceptedInThisPoll >= allocator.maxMessagesPerRead()) {
      addBacklog(previousPollNanos.getAsLong());
      checkAfterNextPoll(listeningChannel);
    } else if (acceptedInThisPoll > 0 && !isPaused(listeningChannel)) {
      backlogged = false;
    }
    acceptedInThisPoll = 0;
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    log.count(NodeLog.Event.ACCEPT_FAILED);
    Channel listeningChannel = context.channel();
    pause(listeningChannel, previousPollNanos.getAsLong());
    listeningChannel
        .eventLoop()
        .schedule(() -> resume(listeningChannel), FAILURE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
  }
}
