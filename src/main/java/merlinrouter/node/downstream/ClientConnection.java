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
import merlinrouter.node.http.DecodingScheduler;
import merlinrouter.node.http.DecodingShare;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.OpenRequest;

/**
 * A client connection. Requests are handled one at a time; pipelined ones stay undecoded until the
 * previous response is written.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
    implements TrackedConnection {
  /** A step in the handling of what a client has sent. */
  private interface Step {
    void run() throws Exception;
  }

  private final Channel channel;
  private final RequestHandler handler;
  private final ConnectionRegistry registry;
  private final AcceptThrottle acceptThrottle;
  private final ClientPresence presence;
  private final ConnectionState state = new ConnectionState();
  private final DecodingShare decodingShare;
  private final ReadControl reading;
  private final RequestDecoder decoder;
  private final RequestAssembler assembler;
  private final HealthCheck healthCheck;
  private final RequestSubmitter submitter;
  private final ResponseWriter responses;
  private final ReceiveTimeout receiveTimeout;
  private boolean keepAlive;

  /** Creates the handler of an accepted connection; call {@link #configurePipeline} next. */
  ClientConnection(
      Channel channel,
      RequestHandler handler,
      RequestParser parser,
      MemoryBudget budget,
      ConnectionRegistry registry,
      AcceptThrottle acceptThrottle,
      DecodingScheduler decodingScheduler) {
    this.channel = channel;
    this.handler = handler;
    this.registry = registry;
    this.acceptThrottle = acceptThrottle;
    presence = new ClientPresence(channel, acceptThrottle.waitingSinceNanos());
    decodingShare = decodingScheduler.newShare(() -> run(this::continueDecoding));
    reading = new ReadControl(channel, presence, decodingShare, handler::previousPollNanos);
    decoder = new RequestDecoder(decodingShare, this::bytesDecoded, reading::earliestArrivalNanos);
    assembler = new RequestAssembler(budget);
    healthCheck = new HealthCheck(handler, registry);
    submitter = new RequestSubmitter(handler, parser, state);
    responses = new ResponseWriter(channel);
    receiveTimeout = new ReceiveTimeout(this, state, decodingShare, channel.eventLoop());
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
    return state.isBetweenRequests() && !responses.isInProgress();
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
    reading.channelActivated();
    if (!registry.add(this)) {
      // At the limit, new connections wait in the kernel's backlog until another one closes. The
      // listening channel is taken from this one's parent because the first clients may be accepted
      // before the bind's future completes.
      acceptThrottle.pause(channel.parent(), System.nanoTime());
    }
  }

  /** Called by the decoder after each read, once all bytes that may be decoded have been. */
  private void bytesDecoded() {
    if (state.isBetweenRequests() && !state.isClosing() && decoder.hasPartOfRequest()) {
      state.startReceiving();
    }
    updateBudget();
    if (needsMoreBytes() && !state.isClosing()) {
      try {
        assembler.checkBudget();
      } catch (InvalidRequestException e) {
        rejectAndClose(e);
      }
    }
    boolean readsAhead = mayReadAhead();
    // A connection that is closing is not read again once reading is paused.
    if (!readsAhead || !state.isClosing()) {
      reading.update(readsAhead);
    }
  }

  /** Returns whether a request is incomplete though all received bytes of it are decoded. */
  private boolean needsMoreBytes() {
    return state.isReceiving() && !decoder.isPaused() && !decodingShare.isExhausted();
  }

  /** Returns whether there is room for further bytes behind the request that was received last. */
  private boolean mayReadAhead() {
    return !decoder.isPaused() || !assembler.hasTooManyPipelinedBytes(decoder.undecodedBytes());
  }

  private void continueDecoding() throws Exception {
    if (!state.isClosing() && channel.isActive()) {
      decoder.decodeReceived();
    }
  }

  /** Runs a step outside the pipeline, whose exceptions are handled like those of the pipeline. */
  private void run(Step step) {
    try {
      step.run();
    } catch (Throwable cause) {
      handleError(cause);
    }
  }

  private void updateBudget() {
    assembler.updateBudget(decoder.undecodedBytes() + decoder.headerHeapBytes());
  }

  @Override
  public void enforceTimeouts() {
    long nowNanos = System.nanoTime();
    if (state.isReceiveTimedOut(nowNanos)) {
      receiveTimeout.rejectUnlessReceived();
    } else if (!responses.isInProgress() && state.isIdleTimedOut(nowNanos)) {
      initiateClose("idle timeout");
    }
  }

  @Override
  public boolean initiateClose(String reason) {
    if (readAndCheckRequestArrived() || !handler.guard().mayClose(state.openRequest(), reason)) {
      return false;
    }
    handler.log().count(NodeLog.Event.IDLE_CLOSED);
    if (state.isReceiving() && !state.isClosing()) {
      // The client may still be sending the rest of its request, so it gets a response.
      rejectAndClose(new InvalidRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE, reason));
    } else {
      state.startClosing();
      channel.close();
    }
    return true;
  }

  /**
   * Reads the connection, and returns whether a part of the next request, or the rest of the one
   * that is being received, has arrived; it may still be to be decoded. The event loop may have
   * stalled since it last polled its sockets.
   */
  boolean readAndCheckRequestArrived() {
    if (!state.mayReceive()) {
      return false;
    }
    boolean wasBetweenRequests = state.isBetweenRequests();
    // A client that does not read its responses keeps its connection no longer than an idle one.
    boolean resumesDecoding = decoder.hasPartOfRequest() && channel.isWritable();
    if (wasBetweenRequests && (decodingShare.isWaiting() || resumesDecoding)) {
      return true;
    }
    presence.readAvailable();
    return channel.isActive()
        && (wasBetweenRequests ? !state.isBetweenRequests() : isRequestComplete());
  }

  /** Returns whether a whole request is received that {@link #handleRequest} has not handled. */
  boolean isRequestComplete() {
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
      rejectAndClose(e);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    presence.readCompleted();
    context.fireChannelReadComplete();
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
      // Deferred until the whole read is processed, because it may include the client's close.
      channel.eventLoop().execute(() -> run(this::handleRequest));
    }
  }

  private void handleRequest() {
    if (state.isClosing() || !channel.isActive()) {
      return;
    }
    HttpRequest head = assembler.takeHead();
    ByteBuf body = assembler.takeBody();
    decoder.releaseHeaders();
    // From here on, the new owner of the body accounts for its bytes in the budget.
    updateBudget();
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
      rejectAndClose(e);
    } catch (Throwable cause) {
      if (state.isReceiving()) {
        body.release();
      }
      throw cause;
    }
  }

  /**
   * Rejects a request that the gateway has not accepted, and closes the connection. Further bytes
   * are not read, because they may belong to this request.
   */
  void rejectAndClose(InvalidRequestException rejection) {
    handler.log().count(NodeLog.Event.BAD_REQUEST);
    assembler.discard();
    stopReading();
    String reason = rejection.getMessage() + "\n";
    respond(rejection.status(), Unpooled.copiedBuffer(reason, StandardCharsets.UTF_8), 0);
  }

  /** Makes the connection close with its next response; nothing more is read before that. */
  private void stopReading() {
    keepAlive = false;
    decoder.stop();
    channel.config().setAutoRead(false);
  }

  /**
   * Writes the final response to the request that was received last, then resumes decoding or
   * closes the connection.
   *
   * @param content the body, which is released once written
   * @param retryAfterNanos time from now after which the client may retry; 0 for no advice
   */
  void respond(HttpResponseStatus status, ByteBuf content, long retryAfterNanos) {
    boolean close = !keepAlive || isCloseDue() && !decoder.hasPartOfRequest();
    state.endRequest(close);
    responses.write(status, content, retryAfterNanos, close).addListener(written -> drainIfIdle());
    if (!state.isClosing()) {
      channel.eventLoop().execute(() -> run(this::resumeDecoding));
    }
  }

  /** Closes the connection if only its response has kept it from being closed in a drain. */
  private void drainIfIdle() {
    if (!registry.isAccepting() && !isClosing() && isBetweenRequests()) {
      initiateClose("graceful shutdown");
    }
  }

  /**
   * Returns whether the connection is to close with its next response. Requests that have been read
   * behind the one that is answered are answered first.
   */
  private boolean isCloseDue() {
    return registry.isDraining()
        || registry.hasMaxIdleConnections()
        || acceptThrottle.isPaused(channel.parent());
  }

  /** Resumes decoding of pipelined requests, unless the client does not read its responses. */
  private void resumeDecoding() {
    boolean mayDecode = state.mayReceive() && !isRequestComplete();
    if (!mayDecode || !channel.isActive() || !channel.isWritable()) {
      return;
    }
    decoder.resume();
    if (decoder.undecodedBytes() == 0) {
      channel.config().setAutoRead(true);
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
    decoder.releaseHeaders();
    updateBudget();
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
    handleError(cause);
  }

  /**
   * Closes the connection because of an exception, unless it is an error of this node: then a
   * request that has been received, in part or as a whole, still gets its response.
   */
  private void handleError(Throwable cause) {
    if (cause instanceof IOException || cause instanceof DecoderException) {
      channel.close();
      return;
    }
    ErrorLog.report("client connection", cause);
    handler.log().count(NodeLog.Event.EVENT_FAILED);
    if (state.hasOpenRequest()) {
      stopReading();
    } else if (state.isReceiving() && !state.isClosing()) {
      rejectAndClose(
          new InvalidRequestException(HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal error"));
    } else {
      channel.close();
    }
  }
}
