package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.OpenRequest;

/**
 * A client connection. It handles one request at a time; pipelined requests wait undecoded until
 * its response is written.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
    implements TrackedConnection {
  private final Channel channel;
  private final RequestHandler handler;
  private final ConnectionRegistry registry;
  private final AcceptThrottle acceptThrottle;
  private final ClientPresence presence;
  private final ConnectionState state = new ConnectionState();
  private final RequestDecoder decoder =
      new RequestDecoder(this::bytesDecoded, this::earliestArrivalNanos);
  private final RequestAssembler assembler;
  private final HealthCheck healthCheck;
  private final RequestSubmitter submitter;
  private final ResponseWriter responses;
  private long activeSinceNanos;
  private boolean keepAlive;

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
    this.registry = registry;
    this.acceptThrottle = acceptThrottle;
    presence = new ClientPresence(channel, acceptThrottle.waitingSinceNanos());
    assembler = new RequestAssembler(budget);
    healthCheck = new HealthCheck(handler, registry);
    submitter = new RequestSubmitter(handler, parser, state);
    responses = new ResponseWriter(channel);
  }

  /** Adds the codec and this handler to the channel's pipeline. */
  void configurePipeline() {
    channel.pipeline().addLast(decoder, new HttpResponseEncoder(), this);
  }

  @Override
  public boolean isClosing() {
    return state.isClosing();
  }

  @Override
  public boolean hasOpenRequest() {
    return state.hasOpenRequest();
  }

  @Override
  public boolean hasReceivedRequest() {
    return state.hasReceivedRequest();
  }

  @Override
  public boolean isBetweenRequests() {
    return state.isBetweenRequests();
  }

  @Override
  public long stateSinceNanos() {
    return state.sinceNanos();
  }

  @Override
  public boolean isReadingPaused() {
    return !channel.config().isAutoRead();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    // The socket is polled from now on.
    activeSinceNanos = System.nanoTime();
    if (!registry.add(this)) {
      // At the limit new connections wait in the kernel's backlog until another one closes. The
      // listening channel is this one's parent: the first clients may be here before the bind's
      // future completes.
      acceptThrottle.pause(channel.parent(), System.nanoTime());
    }
  }

  /** Called by the decoder after each read, when all that may be decoded has been. */
  private void bytesDecoded() {
    if (state.isBetweenRequests() && !state.isClosing() && decoder.hasPartOfRequest()) {
      state.startReceiving();
    }
    int undecodedBytes = decoder.undecodedBytes();
    assembler.updateBudget(undecodedBytes);
    if (decoder.isPaused() && assembler.hasTooManyPipelinedBytes(undecodedBytes)) {
      presence.pauseReading();
    } else if (!state.isClosing()) {
      try {
        assembler.checkBudget();
      } catch (InvalidRequestException e) {
        refuseAndClose(e);
      }
    }
  }

  @Override
  public void enforceTimeouts() {
    long nowNanos = System.nanoTime();
    if (state.isReceiveTimedOut(nowNanos)) {
      refuseUnlessReceived();
    } else if (state.isIdleTimedOut(nowNanos)) {
      initiateClose("idle timeout");
    }
  }

  /** Refuses the request that is being received, unless its rest has arrived by now. */
  private void refuseUnlessReceived() {
    if (!hasUnreadRequest() && !state.isClosing()) {
      refuseAndClose(
          new InvalidRequestException(
              HttpResponseStatus.REQUEST_TIMEOUT, "the request takes too long to come"));
    }
  }

  @Override
  public boolean initiateClose(String reason) {
    if (hasUnreadRequest() || !handler.guard().mayClose(state.openRequest(), reason)) {
      return false;
    }
    handler.log().count(NodeLog.Event.IDLE_CLOSED);
    if (state.isReceiving() && !state.isClosing()) {
      // The client may be sending the rest.
      refuseAndClose(new InvalidRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE, reason));
    } else {
      state.startClosing();
      channel.close();
    }
    return true;
  }

  /**
   * Whether the next request, or the rest of the one that is being received, has arrived and not
   * been handled; reads it. The event loop may have stalled since it last polled its sockets.
   */
  private boolean hasUnreadRequest() {
    if (!state.mayReceive()) {
      return false;
    }
    boolean betweenRequests = state.isBetweenRequests();
    presence.readAvailable();
    return channel.isActive()
        && (betweenRequests ? !state.isBetweenRequests() : isRequestComplete());
  }

  /** Whether a whole request has been received that {@link #handleRequest} is still to handle. */
  private boolean isRequestComplete() {
    return assembler.hasHead() && decoder.isPaused();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    if (state.isClosing()) {
      return;
    }
    try {
      assemble(part);
    } catch (InvalidRequestException e) {
      refuseAndClose(e);
    }
  }

  private void assemble(HttpObject part) throws InvalidRequestException {
    if (part.decoderResult().isFailure()) {
      throw InvalidRequestException.badRequest("this is no request that can be read");
    }
    if (part instanceof HttpRequest head) {
      state.startReceiving();
      assembler.start(head);
      if (HttpUtil.is100ContinueExpected(head)) {
        responses.writeContinue();
      }
    }
    if (part instanceof HttpContent content) {
      assembler.addContent(content.content());
    }
    if (part instanceof LastHttpContent) {
      state.completeReceiving();
      // After the rest of this read: the client's close may follow.
      channel.eventLoop().execute(this::handleRequest);
    }
  }

  /** The earliest moment at which bytes that are read now may have arrived. */
  private long earliestArrivalNanos() {
    long previousPollNanos = handler.previousPollNanos();
    // Bytes of the socket's first poll may have waited as long as the connection.
    boolean isFirstPoll = previousPollNanos - activeSinceNanos < 0;
    return presence.wasReadingPaused() || isFirstPoll
        ? presence.lastSeenNanos()
        : previousPollNanos;
  }

  private void handleRequest() {
    if (state.isClosing() || !channel.isActive()) {
      return;
    }
    HttpRequest head = assembler.takeHead();
    ByteBuf body = assembler.takeBody();
    // Whoever takes the body over counts its bytes from now on.
    assembler.updateBudget(decoder.undecodedBytes());
    state.startHandling();
    keepAlive = HttpUtil.isKeepAlive(head);
    try {
      if (head.uri().equals(ClientProtocol.HEALTH_PATH)) {
        HttpResponseStatus health = healthCheck.status(head.method());
        body.release();
        respond(health, Unpooled.EMPTY_BUFFER, 0);
      } else {
        submitter.submit(
            head, body, decoder.requestArrivedNanos(), new ClientResponseSink(this, presence));
      }
    } catch (InvalidRequestException e) {
      body.release();
      refuseAndClose(e);
    }
  }

  /**
   * Responds with an error before the gateway has seen the request, and closes. Later bytes are not
   * read: they may belong to this request.
   */
  private void refuseAndClose(InvalidRequestException rejection) {
    handler.log().count(NodeLog.Event.BAD_REQUEST);
    keepAlive = false;
    assembler.discard();
    decoder.stop();
    channel.config().setAutoRead(false);
    String reason = rejection.getMessage() + "\n";
    respond(rejection.status(), Unpooled.copiedBuffer(reason, StandardCharsets.UTF_8), 0);
  }

  /**
   * Writes the final response of the request that was received last, and goes on to the next one or
   * closes.
   *
   * @param content the body; it is released once written
   * @param retryAfterNanos when the client may retry, from now; 0 for no advice
   */
  void respond(HttpResponseStatus status, ByteBuf content, long retryAfterNanos) {
    boolean close =
        !keepAlive
            || registry.isDraining()
            || registry.hasMaxIdleConnections()
            || acceptThrottle.isPaused(channel.parent());
    state.endRequest(close);
    responses.write(status, content, retryAfterNanos, close);
    if (!state.isClosing()) {
      channel.eventLoop().execute(this::resumeDecoding);
    }
  }

  /** Goes on to pipelined requests, unless the client does not even read its responses. */
  private void resumeDecoding() {
    boolean mayDecode = state.mayReceive() && !isRequestComplete();
    if (!mayDecode || !channel.isActive() || !channel.isWritable()) {
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
    assembler.discard();
    assembler.updateBudget(decoder.undecodedBytes());
    if (registry.isAccepting()) {
      acceptThrottle.resume(channel.parent());
    }
    OpenRequest abandoned = state.close();
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
