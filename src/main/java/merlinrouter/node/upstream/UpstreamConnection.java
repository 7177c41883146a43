package merlinrouter.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Outcome;
import merlinrouter.node.http.ResponseDecoder;
import merlinrouter.node.http.ResponseHandler;
import merlinrouter.node.http.ServiceProtocol;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.EventLoops;
import merlinrouter.node.transport.ProgressTimeout;

/**
 * An HTTP/1.1 connection to an endpoint, which carries one request at a time. While it is idle it
 * is in the pool of its endpoint. Used on the event loop only.
 */
final class UpstreamConnection extends ResponseHandler {
  /**
   * No request is written for this long after a response, since a duplicate of the response or
   * stray bytes may follow it.
   */
  private static final long QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /**
   * A response of which nothing more arrives for this time counts as malformed, if another attempt
   * may get one sooner.
   */
  private static final long RESPONSE_PROGRESS_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final ResponseDecoder decoder;
  private final EventLoop loop;
  private final NodeLog log;
  private final double maxChargedUnits;
  private final ProgressTimeout responseTimeout;
  private Channel channel;
  private EndpointPool pool;
  private Attempt attempt;

  /** Whether a response was received after which the connection may be reused. */
  private boolean reusable;

  /**
   * The response to {@link #attempt}, until all bytes that were read with it have been decoded;
   * null without one.
   */
  private UpstreamResponse pendingResponse;

  /** Whether its end was given by its length alone, which may be too small. */
  private boolean endGivenByLength;

  private boolean quietPeriodOver = true;
  private long idleSinceNanos;

  UpstreamConnection(ResponseDecoder decoder, EventLoop loop, NodeLog log, double maxChargedUnits) {
    super(ServiceProtocol.MAX_BODY_BYTES);
    this.decoder = decoder;
    this.loop = loop;
    this.log = log;
    this.maxChargedUnits = maxChargedUnits;
    responseTimeout = new ProgressTimeout(loop, this::connectionFailed);
  }

  /** Not in {@code channelActive}, which is called after the listeners of the connect. */
  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Sets the pool that this connection is in while it is idle; called before the first attempt. */
  void assignTo(EndpointPool owner) {
    pool = owner;
  }

  boolean isQuietPeriodOver() {
    return quietPeriodOver;
  }

  /** Returns the {@link System#nanoTime} at which this connection last became idle. */
  long idleSinceNanos() {
    return idleSinceNanos;
  }

  void close() {
    channel.close();
  }

  /** Removes the attempt from this connection; called by the attempt when it ends. */
  void detachAttempt() {
    attempt = null;
  }

  /**
   * Reads the connection and returns whether it is still open: the endpoint may have closed it, or
   * may have sent bytes that belong to no request, upon which this node closes it.
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
      // The client disconnected, for example while the connection was being opened.
      log.count(NodeLog.Event.ATTEMPT_SKIPPED);
      next.end(Outcome.NOT_SENT);
    }
    if (next.isEnded()) {
      release();
      return;
    }
    attempt = next;
    next.attach(this);
    try {
      writeRequest(next);
    } catch (Throwable cause) {
      ErrorLog.report("cannot write a request", cause);
      next.startFailed();
    }
  }

  private void writeRequest(Attempt next) {
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
    return attempt != null && attempt.isWritten() && pendingResponse == null;
  }

  @Override
  protected void responseReceived(HttpResponse head, ByteBuf body) {
    reusable = HttpUtil.isKeepAlive(head);
    endGivenByLength = head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    pendingResponse = UpstreamResponse.of(head, body.retain(), maxChargedUnits);
  }

  /**
   * Ends the attempt with its response. One that is followed by other bytes than another response
   * may have been cut off by a length that does not fit; it is not passed on.
   */
  private void deliverPendingResponse() {
    UpstreamResponse response = pendingResponse;
    Attempt completed = attempt;
    pendingResponse = null;
    attempt = null;
    completed.detach();
    boolean mayBeCutOff =
        response.outcome() == Outcome.OK && endGivenByLength && decoder.hasNoiseBehindResponse();
    if (!reusable || mayBeCutOff) {
      channel.close();
    }
    try {
      if (mayBeCutOff) {
        completed.connectionLost();
        logIncomplete(completed);
      } else {
        completed.end(response);
      }
    } finally {
      response.body().release();
    }
  }

  /**
   * Decides whether the connection is reused. Bytes that follow a response would be taken for the
   * response to the next request; whether there are any is known only after everything that was
   * read has been decoded.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    boolean betweenResponses = decoder.isBetweenResponses();
    if (pendingResponse != null) {
      deliverPendingResponse();
    }
    if (attempt != null) {
      updateResponseTimeout(!betweenResponses && attempt.mayBeReplaced());
    } else if (!betweenResponses) {
      channel.close();
    } else if (reusable) {
      reusable = false;
      responseTimeout.stop();
      startQuietPeriod();
      release();
    }
  }

  /**
   * Starts the quiet period, which ends only after another poll of the sockets: an event loop that
   * stalled has not yet read what arrived during the stall.
   */
  private void startQuietPeriod() {
    quietPeriodOver = false;
    EventLoops.runAfterNextPoll(loop, QUIET_PERIOD_NANOS, () -> quietPeriodOver = true);
  }

  private void updateResponseTimeout(boolean expectsMore) {
    if (!expectsMore) {
      responseTimeout.stop();
    } else if (responseTimeout.isRunning()) {
      responseTimeout.progressed();
    } else {
      responseTimeout.start(RESPONSE_PROGRESS_TIMEOUT_NANOS);
    }
  }

  /** Handles a malformed or overdue response, or the end of the connection. */
  @Override
  protected void connectionFailed() {
    responseTimeout.stop();
    if (pool != null) {
      pool.remove(this);
    }
    // Closed before the attempt ends: a retry must not start while this connection is open.
    channel.close();
    if (pendingResponse != null) {
      deliverPendingResponse();
    } else if (attempt != null) {
      Attempt incomplete = attempt;
      incomplete.connectionLost();
      logIncomplete(incomplete);
    }
  }

  private void logIncomplete(Attempt incomplete) {
    log.request(
        NodeLog.Event.RESPONSE_INCOMPLETE,
        incomplete.requestId(),
        "from endpoint " + incomplete.endpointId());
  }
}
