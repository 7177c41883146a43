package merlinrouter.node.counter;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import merlinrouter.node.http.ResponseDecoder;
import merlinrouter.node.http.ResponseHandler;
import merlinrouter.node.transport.Transport;

/**
 * An HTTP/1.1 connection to the counter with pipelined calls. Responses are received in the order
 * of the calls. Used on the event loop only.
 */
final class CounterConnection extends ResponseHandler {
  private static final int MAX_RESPONSE_BYTES = 1024;

  /**
   * The connection is closed if all responses have been late for this many call timeouts. Those to
   * some earlier calls may be lost, and each later one is then assigned to an earlier call.
   */
  private static final int MAX_TIMEOUTS_WITH_LATE_RESPONSES = 40;

  private final CounterShard shard;
  private final long callTimeoutNanos;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private final Channel channel;

  /** Calls passed to the channel whose responses are due, oldest first. */
  private final ArrayDeque<CounterCall> pending = new ArrayDeque<>();

  private long lastReadNanos = System.nanoTime();

  /** When the first response after the last one in time was received. */
  private long lateSinceNanos;

  private boolean late;
  private boolean responded;
  private boolean connected;
  private boolean closed;

  /** Creates a connection and starts to establish it. */
  CounterConnection(
      CounterShard shard,
      EventLoop loop,
      Bootstrap bootstrap,
      SocketAddress address,
      long callTimeoutNanos) {
    super(MAX_RESPONSE_BYTES);
    this.shard = shard;
    this.callTimeoutNanos = callTimeoutNanos;
    ChannelFuture connecting = bootstrap.clone().handler(initializer()).connect(address);
    channel = connecting.channel();
    if (!Transport.hasChannel(connecting)) {
      loop.execute(this::close);
      return;
    }
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            connected = true;
            shard.writeWaiting();
          } else {
            // A failed resolution is reported before the shard knows this connection.
            loop.execute(this::close);
          }
        });
  }

  private ChannelInitializer<Channel> initializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel created) {
        created.pipeline().addLast(decoder, new HttpRequestEncoder(), CounterConnection.this);
      }
    };
  }

  boolean isActive() {
    return channel.isActive();
  }

  int pendingCalls() {
    return pending.size();
  }

  /** Writes a call without flushing it. */
  void write(CounterCall call) {
    call.attach(this);
    pending.add(call);
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, call.uri());
    message
        .headers()
        .set(HttpHeaderNames.HOST, CounterProtocol.HOST)
        .set(HttpHeaderNames.CONTENT_LENGTH, 0);
    channel.write(message).addListener(written -> call.setWritten(written.isSuccess()));
  }

  void flush() {
    channel.flush();
  }

  /**
   * Handles the timeout of a call. Closes the connection if the call has not been written (it must
   * not be written later), or if nothing has been read for so long that the connection is assumed
   * dead or the rest of a response lost. A counter that is merely slow goes on to respond; before
   * its first response another connection is used beside this one.
   */
  void callTimedOut(CounterCall call) {
    long silentNanos = System.nanoTime() - lastReadNanos;
    CounterCall oldest = pending.peek();
    boolean unresponsive =
        oldest != null && Math.min(silentNanos, oldest.ageNanos()) > shard.maxResponseDelayNanos();
    boolean responseCutShort = !decoder.isBetweenResponses() && silentNanos > callTimeoutNanos;
    if (!call.isWritten() || responseCutShort || unresponsive && responded) {
      close();
    } else if (unresponsive && shard.isCurrent(this)) {
      shard.replaceUnanswered(this);
    } else {
      closeIfReplacedAndDone();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    lastReadNanos = System.nanoTime();
    context.fireChannelReadComplete();
  }

  /** Returns whether a response has been received on this connection. */
  boolean hasResponded() {
    return responded;
  }

  /** Closes the connection if another one has replaced it and no call is open on it. */
  void closeIfReplacedAndDone() {
    boolean done = pending.isEmpty() || pending.peekLast().isEnded();
    if (!shard.isUsed(this) && done) {
      close();
      shard.writeWaiting();
    }
  }

  /** Closes the connection and ends its calls in order; later calls need another connection. */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    if (channel.isRegistered()) {
      channel.close();
    }
    shard.detach(this);
    while (!pending.isEmpty()) {
      pending.poll().connectionLost();
    }
    shard.connectionClosed(connected);
  }

  @Override
  protected boolean expectsResponse() {
    return !pending.isEmpty() && pending.peek().isWritten();
  }

  @Override
  protected void responseReceived(HttpResponse head, ByteBuf body) {
    responded = true;
    CounterCall call = pending.poll();
    boolean lateForLong = observeLateness(call);
    CounterResponse response = CounterResponse.of(head, body);
    call.end(response.outcome(), response.total());
    if (response.connectionUsable() && !lateForLong) {
      shard.responseReceived(this);
      closeIfReplacedAndDone();
    } else {
      close();
    }
  }

  /** Returns whether all responses have been late for long, including the one to this call. */
  private boolean observeLateness(CounterCall call) {
    if (!call.isEnded()) {
      late = false;
    } else if (!late) {
      late = true;
      lateSinceNanos = System.nanoTime();
    }
    return late
        && System.nanoTime() - lateSinceNanos > MAX_TIMEOUTS_WITH_LATE_RESPONSES * callTimeoutNanos;
  }

  @Override
  protected void connectionFailed() {
    close();
  }
}
