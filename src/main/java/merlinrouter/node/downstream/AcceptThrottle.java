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
  private boolean paused;
  private long pausedSinceNanos;
  private int acceptedInThisPoll;
  private boolean acceptedSinceResume;

  /** How many times accepting was resumed with no whole poll of the sockets since. */
  private int resumesWithoutPoll;

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
    return isPaused(listeningChannel) || resumesWithoutPoll > 0;
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
    if (!isPaused(listeningChannel)) {
      return;
    }
    acceptedSinceResume = false;
    resumesWithoutPoll++;
    listeningChannel.config().setAutoRead(true);
    EventLoops.runAfterNextPoll(
        listeningChannel.eventLoop(), 0, () -> polledSinceResume(listeningChannel));
  }

  private void polledSinceResume(Channel listeningChannel) {
    resumesWithoutPoll--;
    // If the poll accepted no connection, none had waited.
    if (!acceptedSinceResume && !isPaused(listeningChannel)) {
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
        && !isPaused(context.channel())) {
      paused = false;
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
