package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.util.concurrent.TimeUnit;
import merlinrouter.time.Nanos;

/** Writes responses to one connection. */
final class ResponseWriter {
  /** A client that has not taken any byte for this long counts as stalled. */
  private static final long MAX_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** Decimal places of Retry-After, which is in seconds: its resolution is a millisecond. */
  private static final int RETRY_AFTER_SCALE = 3;

  private final Channel channel;

  /** The latest write; null before the first. */
  private ChannelFuture latestWrite;

  private long pendingBytes;
  private long progressAtNanos;

  ResponseWriter(Channel channel) {
    this.channel = channel;
  }

  /**
   * Writes and flushes a final response. The connection is closed if that fails.
   *
   * @param content the body, which is released once written
   * @param retryAfterNanos time from now after which the client may retry, rounded up to
   *     milliseconds; 0 for no Retry-After header
   * @param close whether to announce that the connection closes, and close it after the response
   * @return completes when the response is written or has failed
   */
  ChannelFuture write(
      HttpResponseStatus status, ByteBuf content, long retryAfterNanos, boolean close) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    if (retryAfterNanos > 0) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, toSeconds(retryAfterNanos));
    }
    if (close) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    progressAtNanos = System.nanoTime();
    latestWrite =
        channel
            .writeAndFlush(response)
            .addListener(
                close ? ChannelFutureListener.CLOSE : ChannelFutureListener.CLOSE_ON_FAILURE);
    return latestWrite;
  }

  /**
   * Returns whether a response is not written to its end yet, and the client has taken bytes of it
   * recently. Must be called regularly, since progress is noticed by these calls only.
   */
  boolean isInProgress() {
    if (latestWrite == null || latestWrite.isDone()) {
      return false;
    }
    long nowNanos = System.nanoTime();
    long pending = unwrittenBytes();
    if (pending != pendingBytes) {
      pendingBytes = pending;
      progressAtNanos = nowNanos;
    }
    return nowNanos - progressAtNanos <= MAX_STALL_NANOS;
  }

  private long unwrittenBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }

  /** Writes an interim response (100 Continue), after which the client sends its body. */
  void writeContinue() {
    channel.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  private static String toSeconds(long nanos) {
    long millis = (nanos + Nanos.PER_MILLI - 1) / Nanos.PER_MILLI;
    return BigDecimal.valueOf(millis, RETRY_AFTER_SCALE).toPlainString();
  }
}
