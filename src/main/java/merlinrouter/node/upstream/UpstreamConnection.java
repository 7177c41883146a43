package merlinrouter.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Outcome;
import merlinrouter.node.http.ResponseDecoder;
import merlinrouter.node.http.ResponseHandler;
import merlinrouter.node.http.ServiceProtocol;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.EventLoops;

/**
 * An HTTP/1.1 connection to an endpoint with one request at a time. It belongs to the pool of its
 * endpoint while it has no attempt. Used on the event loop only.
 */
final class UpstreamConnection extends ResponseHandler {
  /**
   * Nothing is written for this long after a response: a duplicate of it or stray bytes may follow
   * right behind.
   */
  private static final long QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /**
   * A response has {@link EndpointProtocol#MAX_BODY_BYTES} bytes at most: one that began and is not
   * complete after this long is malformed.
   */
  private static final long RESPONSE_COMPLETION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final ResponseDecoder decoder;
  private final EventLoop loop;
  private final NodeLog log;
  private final double maxChargedUnits;
  private Channel channel;
  private EndpointPool pool;
  private Attempt attempt;

  /** Whether a response was received after which the connection may be reused. */
  private boolean reusable;

  private boolean quietPeriodOver = true;
  private long idleSinceNanos;
  private Future<?> completionTimeout;

  UpstreamConnection(ResponseDecoder decoder, EventLoop loop, NodeLog log, double maxChargedUnits) {
    super(ServiceProtocol.MAX_BODY_BYTES);
    this.decoder = decoder;
    this.loop = loop;
    this.log = log;
    this.maxChargedUnits = maxChargedUnits;
  }

  /** Not in channelActive: a connect's listeners are notified before the handlers are. */
  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Sets the pool that it goes to when it is idle; called before the first attempt. */
  void assignTo(EndpointPool owner) {
    pool = owner;
  }

  boolean isQuietPeriodOver() {
    return quietPeriodOver;
  }

  /** When it last became idle, by {@link System#nanoTime}. */
  long idleSinceNanos() {
    return idleSinceNanos;
  }

  void close() {
    channel.close();
  }

  /** Called by the attempt when it ends. */
  void detachAttempt() {
    attempt = null;
  }

  /**
   * Reads the connection, and returns whether it is open then: the endpoint's close may have
   * arrived, or bytes that belong to no request, on which it is closed.
   */
  boolean readAndCheckOpen() {
    if (channel.isActive()) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
    return channel.isActive();
  }

  @Override
  protected boolean acceptsResponseWithoutLength() {
    return true;
  }

  /** Writes an attempt's request, unless the client has disconnected or the attempt has ended. */
  void write(Attempt next) {
    if (!next.isEnded() && !next.readAndCheckClientWaiting()) {
      // The client disconnected while the connection was being opened.
      log.count(NodeLog.Event.ATTEMPT_SKIPPED);
      next.end(Outcome.NOT_SENT);
    }
    if (next.isEnded()) {
      release();
      return;
    }
    attempt = next;
    next.attach(this);
    channel
        .writeAndFlush(next.toHttpRequest())
        .addListener(
            written -> {
              next.setWritten(written.isSuccess());
              if (!written.isSuccess()) {
                channel.close();
                next.connectionLost();
              }
            });
  }

  private void release() {
    if (pool.isRetired() || !channel.isActive()) {
      channel.close();
    } else {
      idleSinceNanos = System.nanoTime();
      pool.release(this);
    }
  }

  @Override
  protected boolean expectsResponse() {
    return attempt != null && attempt.isWritten();
  }

  @Override
  protected void responseReceived(HttpResponse head, ByteBuf body) {
    Attempt answered = attempt;
    attempt = null;
    answered.detach();
    reusable = HttpUtil.isKeepAlive(head);
    if (!reusable) {
      channel.close();
    }
    answered.end(UpstreamResponse.of(head, body, maxChargedUnits));
  }

  /**
   * Decides on the reuse of the connection. Only here, when all that was read has been decoded, is
   * it known whether other bytes follow a response: these would pass for the next request's.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    boolean clean = decoder.isBetweenResponses();
    if (attempt != null) {
      updateCompletionTimeout(!clean);
    } else if (!clean) {
      channel.close();
    } else if (reusable) {
      reusable = false;
      updateCompletionTimeout(false);
      startQuietPeriod();
      release();
    }
  }

  /** The time alone is not enough: an event loop that stalled has not read what arrived. */
  private void startQuietPeriod() {
    quietPeriodOver = false;
    EventLoops.runAfterNextPoll(loop, QUIET_PERIOD_NANOS, () -> quietPeriodOver = true);
  }

  private void updateCompletionTimeout(boolean responseIncomplete) {
    if (responseIncomplete && completionTimeout == null) {
      completionTimeout =
          loop.schedule(
              () -> connectionFailed(), RESPONSE_COMPLETION_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    } else if (!responseIncomplete && completionTimeout != null) {
      completionTimeout.cancel(false);
      completionTimeout = null;
    }
  }

  /** A malformed response, or the end of the connection. */
  @Override
  protected void connectionFailed() {
    updateCompletionTimeout(false);
    if (attempt != null) {
      log.request(
          NodeLog.Event.RESPONSE_INCOMPLETE, attempt.requestId(), "by " + attempt.endpointId());
    }
    if (pool != null) {
      pool.remove(this);
    }
    // The close comes first: a further attempt must not meet this one on an open connection.
    channel.close();
    if (attempt != null) {
      attempt.connectionLost();
    }
  }
}
