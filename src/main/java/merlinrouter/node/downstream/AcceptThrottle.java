package merlinrouter.node.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import merlinrouter.node.logging.NodeLog;

/**
 * Pauses and resumes accepting, and knows since when a connection that is accepted now may have
 * waited for it.
 *
 * <p>Behind a failed accept the library's own handler stops for a second, in which the requests of
 * all who have connected run out of time. The pause here only keeps a lasting failure, such as a
 * full table of descriptors, from taking all of the event loop. Used on the event loop only.
 */
public final class AcceptThrottle extends ChannelInboundHandlerAdapter {
  /** Small against the least time that a client waits. */
  private static final long PAUSE_MS = 10;

  private final NodeLog log;
  private final LongSupplier lookedBefore;
  private boolean failing;
  private boolean paused;
  private long pausedAt;
  private int acceptedInThisLook;
  private boolean acceptedSinceResume;

  /**
   * {@code lookedBefore} tells when the event loop last looked at its sockets before the present
   * look.
   */
  AcceptThrottle(NodeLog log, LongSupplier lookedBefore) {
    this.log = log;
    this.lookedBefore = lookedBefore;
  }

  /** Whether the last accept failed and has not been tried again. */
  boolean isFailing() {
    return failing;
  }

  /** The earliest moment at which a connection that is accepted now may have begun to wait. */
  long waitingSince() {
    long before = lookedBefore.getAsLong();
    return paused && pausedAt - before < 0 ? pausedAt : before;
  }

  /** Accepts nobody until {@link #resume}; whoever connects after {@code since} waits. */
  void pause(Channel listening, long since) {
    if (!paused) {
      paused = true;
      pausedAt = since;
    }
    listening.config().setAutoRead(false);
  }

  /** Goes on accepting. */
  void resume(Channel listening) {
    if (listening.config().isAutoRead()) {
      return;
    }
    acceptedSinceResume = false;
    listening.config().setAutoRead(true);
    // By the second turn the loop has looked at its sockets: where nobody was accepted, nobody had
    // waited.
    EventLoop loop = listening.eventLoop();
    loop.schedule(
        () ->
            loop.schedule(
                () -> {
                  if (!acceptedSinceResume && listening.config().isAutoRead()) {
                    paused = false;
                  }
                },
                0,
                TimeUnit.NANOSECONDS),
        0,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object accepted) {
    acceptedInThisLook++;
    acceptedSinceResume = true;
    context.fireChannelRead(accepted);
  }

  /** A look that takes in fewer than it may has taken in all who waited. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    MaxMessagesRecvByteBufAllocator look = context.channel().config().getRecvByteBufAllocator();
    if (acceptedInThisLook > 0
        && acceptedInThisLook < look.maxMessagesPerRead()
        && context.channel().config().isAutoRead()) {
      paused = false;
    }
    acceptedInThisLook = 0;
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    log.count(NodeLog.Event.ACCEPT_FAILED);
    failing = true;
    Channel listening = context.channel();
    pause(listening, lookedBefore.getAsLong());
    listening
        .eventLoop()
        .schedule(
            () -> {
              failing = false;
              resume(listening);
            },
            PAUSE_MS,
            TimeUnit.MILLISECONDS);
  }
}
