package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.http.BodyAccumulator;
import merlinrouter.node.http.ServiceProtocol;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.OpenRequest;

/**
 * A client connection. It handles one request at a time; pipelined requests wait undecoded until
 * its response is written.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
    implements TrackedConnection {
  /** How many bytes of pipelined requests may wait before the connection is not read any more. */
  private static final int MAX_PIPELINED_BYTES = 4 * ServiceProtocol.MAX_BODY_BYTES;

  /**
   * How long receiving a whole request may take: from the connect or, on a connection that has
   * received one before, from its first byte.
   */
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private final Channel channel;
  private final RequestHandler handler;
  private final RequestParser parser;
  private final MemoryBudget budget;
  private final ConnectionRegistry registry;
  private final AcceptThrottle acceptThrottle;
  private final ClientPresence presence;
  private final ResponseWriter responses;
  private final RequestDecoder decoder =
      new RequestDecoder(this::bytesDecoded, this::earliestArrivalNanos);
  private final BodyAccumulator body = new BodyAccumulator(ServiceProtocol.MAX_BODY_BYTES);
  private HttpRequest head;
  private OpenRequest openRequest;

  /** Whether a request has been received in part. */
  private boolean receiving;

  /** Whether a whole request has been received yet. */
  private boolean receivedRequest;

  private boolean keepAlive;
  private boolean closing;
  private long stateSinceNanos = System.nanoTime();

  /** What this connection holds of the memory budget. */
  private int budgetedBytes;

  /** Takes over an accepted connection; {@link #configurePipeline} is still to be called. */
  ClientConnection(
      Channel channel,
      RequestHandler handler,
      RequestParser parser,
      MemoryBudget budget,
      ConnectionRegistry registry,
      AcceptThrottle acceptThrottle) {
    this.channel = channel;
    this.handler = handler;
    this.parser = parser;
    this.budget = budget;
    this.registry = registry;
    this.acceptThrottle = acceptThrottle;
    presence = new ClientPresence(channel, acceptThrottle.waitingSinceNanos());
    responses = new ResponseWriter(channel);
  }

  /** Adds the codec and this handler to the channel's pipeline. */
  void configurePipeline() {
    channel.pipeline().addLast(decoder, new HttpResponseEncoder(), this);
  }

  @Override
  public boolean isClosing() {
    return closing;
  }

  @Override
  public boolean hasOpenRequest() {
    return openRequest != null;
  }

  @Override
  public boolean hasReceivedRequest() {
    return receivedRequest;
  }

  @Override
  public boolean isBetweenRequests() {
    return openRequest == null && !receiving;
  }

  @Override
  public long stateSinceNanos() {
    return stateSinceNanos;
  }

  @Override
  public boolean isReadingPaused() {
    return !channel.config().isAutoRead();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    if (!registry.add(this)) {
      // At the limit new connections wait in the kernel's backlog until another one closes. The
      // listening channel is this one's parent: the first clients may be here before the bind's
      // future completes.
      acceptThrottle.pause(channel.parent(), System.nanoTime());
    }
  }

  /** Called by the decoder after each read, when all that may be decoded has been. */
  private void bytesDecoded() {
    if (isBetweenRequests() && !closing && decoder.hasPartOfRequest()) {
      startReceiving();
    }
    updateBudget();
    if (decoder.isPaused() && hasTooManyPipelinedBytes()) {
      presence.pauseReading();
    } else if (head != null && !closing && !budget.allows(budgetedBytes)) {
      refuseAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this body");
    }
  }

  private boolean hasTooManyPipelinedBytes() {
    int undecoded = decoder.undecodedBytes();
    return undecoded > 0 && (undecoded > MAX_PIPELINED_BYTES || !budget.allows(undecoded));
  }

  private void startReceiving() {
    receiving = true;
    if (receivedRequest) {
      stateSinceNanos = System.nanoTime();
    }
  }

  private void updateBudget() {
    int heldBytes = decoder.undecodedBytes() + body.size();
    budget.change(heldBytes - budgetedBytes);
    budgetedBytes = heldBytes;
  }

  @Override
  public void enforceTimeouts() {
    if (openRequest != null) {
      return;
    }
    long elapsedNanos = System.nanoTime() - stateSinceNanos;
    if (receiving && !closing && elapsedNanos > REQUEST_TIMEOUT_NANOS) {
      if (!hasUnreadRequest() && !closing) {
        refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request takes too long to come");
      }
    } else if ((closing || !receiving) && elapsedNanos > IDLE_TIMEOUT_NANOS) {
      initiateClose("idle timeout");
    }
  }

  @Override
  public boolean initiateClose(String reason) {
    if (hasUnreadRequest() || !handler.guard().mayClose(openRequest, reason)) {
      return false;
    }
    handler.log().count(NodeLog.Event.IDLE_CLOSED);
    if (receiving && !closing) {
      // The client may be sending the rest.
      refuseAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
    } else {
      closing = true;
      channel.close();
    }
    return true;
  }

  /**
   * Whether the next request, or the rest of the one that is being received, has arrived and not
   * been handled; reads it. The event loop may have stalled since it last polled its sockets.
   */
  private boolean hasUnreadRequest() {
    if (closing || openRequest != null) {
      return false;
    }
    boolean betweenRequests = isBetweenRequests();
    presence.readAvailable();
    return channel.isActive() && (betweenRequests ? !isBetweenRequests() : isRequestComplete());
  }

  /** Whether a whole request has been received that {@link #handleRequest} is still to handle. */
  private boolean isRequestComplete() {
    return head != null && decoder.isPaused();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    if (closing) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      refuseAndClose(HttpResponseStatus.BAD_REQUEST, "this is no request that can be read");
      return;
    }
    if (part instanceof HttpRequest requestHead) {
      head = requestHead;
      startReceiving();
      checkBodyLength(requestHead);
    }
    if (part instanceof HttpContent content && !closing && !body.add(content.content())) {
      refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }
    if (part instanceof LastHttpContent && !closing) {
      receivedRequest = true;
      // After the rest of this read: the client's close may follow.
      channel.eventLoop().execute(this::handleRequest);
    }
  }

  /** The earliest moment at which bytes that are read now may have arrived. */
  private long earliestArrivalNanos() {
    // Bytes sent right behind the connect may have waited as long as the connection.
    boolean firstBytes = !receivedRequest && !receiving;
    return presence.wasReadingPaused() || firstBytes
        ? presence.lastSeenNanos()
        : handler.previousPollNanos();
  }

  /** Rejects a body by the length that its head announces, before any of it is read. */
  private void checkBodyLength(HttpRequest requestHead) {
    long length = HttpUtil.getContentLength(requestHead, 0L);
    if (length > ServiceProtocol.MAX_BODY_BYTES) {
      refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    } else if (!budget.allows(length)) {
      refuseAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this body");
    } else if (HttpUtil.is100ContinueExpected(requestHead)) {
      responses.writeContinue();
    }
  }

  private void handleRequest() {
    if (closing || !channel.isActive()) {
      return;
    }
    HttpRequest requestHead = head;
    ByteBuf content = body.take();
    // Whoever takes the body over counts its bytes from now on.
    updateBudget();
    head = null;
    receiving = false;
    keepAlive = HttpUtil.isKeepAlive(requestHead);
    if (requestHead.uri().equals(ClientProtocol.HEALTH_PATH)) {
      content.release();
      handleHealthCheck(requestHead.method());
      return;
    }
    try {
      handOver(requestHead, content);
    } catch (InvalidRequestException e) {
      content.release();
      refuseAndClose(e.status(), e.getMessage());
    }
  }

  private void handOver(HttpRequest requestHead, ByteBuf content) throws InvalidRequestException {
    long arrivedAt = handler.toGatewayTime(decoder.requestArrivedNanos());
    ParsedRequest parsed = parser.parse(requestHead, arrivedAt);
    OpenRequest request =
        new OpenRequest(
            parsed.request(),
            parsed.method(),
            parsed.uri(),
            parsed.idempotencyKey(),
            content,
            new ClientResponseSink(this, presence));
    openRequest = request;
    if (!handler.accept(request)) {
      openRequest = null;
      throw new InvalidRequestException(
          HttpResponseStatus.CONFLICT, "a request of this id is open");
    }
  }

  private void handleHealthCheck(HttpMethod method) {
    if (!method.equals(HttpMethod.GET)) {
      refuseAndClose(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
      return;
    }
    boolean ready = handler.isReady() && !registry.isDraining();
    respond(
        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
        Unpooled.EMPTY_BUFFER,
        0);
  }

  /**
   * Responds with an error before the gateway has seen the request, and closes. Later bytes are not
   * read: they may belong to this request.
   */
  private void refuseAndClose(HttpResponseStatus status, String reason) {
    handler.log().count(NodeLog.Event.BAD_REQUEST);
    keepAlive = false;
    head = null;
    body.take().release();
    decoder.stop();
    channel.config().setAutoRead(false);
    respond(status, Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8), 0);
  }

  /** Writes the final response of the present request; the content is released once written. */
  void respond(HttpResponseStatus status, ByteBuf content, long retryAfterNanos) {
    closing =
        !keepAlive
            || registry.isDraining()
            || registry.hasMaxIdleConnections()
            || acceptThrottle.isPaused(channel.parent());
    openRequest = null;
    receiving = false;
    stateSinceNanos = System.nanoTime();
    responses.write(status, content, retryAfterNanos, closing);
    if (!closing) {
      channel.eventLoop().execute(this::resumeDecoding);
    }
  }

  /** Goes on to pipelined requests, unless the client does not even read its responses. */
  private void resumeDecoding() {
    boolean busy = openRequest != null || isRequestComplete();
    if (busy || closing || !channel.isActive() || !channel.isWritable()) {
      return;
    }
    channel.config().setAutoRead(true);
    try {
      decoder.resume();
    } catch (Exception e) {
      closeOnError(e);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    resumeDecoding();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    registry.remove(this);
    body.take().release();
    updateBudget();
    if (registry.isAccepting()) {
      acceptThrottle.resume(channel.parent());
    }
    OpenRequest abandoned = openRequest;
    openRequest = null;
    closing = true;
    if (abandoned != null) {
      handler.clientDisconnected(abandoned);
    }
    registry.completeDrainIfEmpty();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    closeOnError(cause);
  }

  private void closeOnError(Throwable cause) {
    if (!(cause instanceof IOException || cause instanceof DecoderException)) {
      ErrorLog.report("client connection", cause);
    }
    channel.close();
  }
}
