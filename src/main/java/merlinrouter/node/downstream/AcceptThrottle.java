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
  private boolean failed;
  private boolean paused;
  private long pausedSinceNanos;
  private int acceptedInThisPoll;
  private boolean acceptedSinceResume;

  /**
   * Creates a throttle that does not pause accepting.
   *
   * @param previousPollNanos when the event loop polled its sockets before the present poll
   */
  AcceptThrottle(NodeLog log, LongSupplier previousPollNanos) {
    this.log = log;
    this.previousPollNanos = previousPollNanos;
  }

  /** Whether the last accept failed and has not been retried. */
  boolean hasFailed() {
    return failed;
  }

  /** The earliest moment at which a connection that is accepted now may have started to wait. */
  long waitingSinceNanos() {
    long previousPoll = previousPollNanos.getAsLong();
    return paused && pausedSinceNanos - previousPoll < 0 ? pausedSinceNanos : previousPoll;
  }

  /** Stops accepting until {@link #resume}: connections that arrive after {@code since} wait. */
  void pause(Channel listeningChannel, long sinceNanos) {
    if (!paused) {
      paused = true;
      pausedSinceNanos = sinceNanos;
    }
    listeningChannel.config().setAutoRead(false);
  }

  /** Goes on accepting, if paused. */
  void resume(Channel listeningChannel) {
    if (listeningChannel.config().isAutoRead()) {
      return;
    }
    acceptedSinceResume = false;
    listeningChannel.config().setAutoRead(true);
    // If the next poll accepts no connection, none had waited.
    EventLoops.runAfterNextPoll(
        listeningChannel.eventLoop(), 0, () -> endPauseIfNoneWaited(listeningChannel));
  }

  private void endPauseIfNoneWaited(Channel listeningChannel) {
    if (!acceptedSinceResume && listeningChannel.config().isAutoRead()) {
      paused = false;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object accepted) {
    acceptedInThisPoll++;
    acceptedSinceResume = true;
    context.fireChannelRead(accepted);
  }

  /** A poll that accepts fewer connections than it may has accepted all that waited. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    MaxMessagesRecvByteBufAllocator allocator =
        context.channel().config().getRecvByteBufAllocator();
    if (acceptedInThisPoll > 0
        && acceptedInThisPoll < allocator.maxMessagesPerRead()
        && context.channel().config().isAutoRead()) {
      paused = false;
    }
    acceptedInThisPoll = 0;
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    log.count(NodeLog.Event.ACCEPT_FAILED);
    failed = true;
    Channel listeningChannel = context.channel();
    pause(listeningChannel, previousPollNanos.getAsLong());
    listeningChannel
        .eventLoop()
        .schedule(() -> retry(listeningChannel), FAILURE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void retry(Channel listeningChannel) {
    failed = false;
    resume(listeningChannel);
  }
}
