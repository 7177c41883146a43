package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The codec's decoder, which stops behind each request until it is told to go on. Requests that
 * were all decoded as they came would wait as objects many times their size, and what stands behind
 * a refused one is not to be read at all.
 */
public final class RequestDecoder extends HttpRequestDecoder {
  /**
   * Reads so close together count as one, and so many wait at most; each stands for its earliest
   * moment.
   */
  private static final long CLOSE = 10_000_000L;

  private static final int MOST_READS = 64;

  /** Up to which of the connection's bytes a read went, and when these may have come. */
  private static final class Read {
    private long upTo;
    private final long at;

    Read(long upTo, long at) {
      this.upTo = upTo;
      this.at = at;
    }
  }

  private final Runnable arrived;
  private final LongSupplier earliest;
  private final ArrayDeque<Read> reads = new ArrayDeque<>();
  private long came, wholeAt;
  private ChannelHandlerContext context;
  private boolean paused, stopped;

  /**
   * {@code arrived} hears of each read, when all that may be decoded has been; {@code earliest}
   * tells when what is read now may have come.
   */
  RequestDecoder(Runnable arrived, LongSupplier earliest) {
    this.arrived = arrived;
    this.earliest = earliest;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext at, Object input) throws Exception {
    if (input instanceof ByteBuf bytes && bytes.isReadable()) {
      note(bytes.readableBytes());
    }
    super.channelRead(at, input);
    arrived.run();
  }

  /** A request that waits behind another has come all the same, and its time goes by. */
  private void note(int bytes) {
    long now = earliest.getAsLong();
    came += bytes;
    Read last = reads.peekLast();
    if (last != null && (now - last.at < CLOSE || reads.size() >= MOST_READS)) {
      last.upTo = came;
    } else {
      reads.add(new Read(came, now));
    }
  }

  /** When the last byte of the request decoded last may have come, at the earliest. */
  long wholeAt() {
    return wholeAt;
  }

  /**
   * The codec's own would read on, unasked, wherever reading has been turned off and nothing was
   * decoded.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext at) {
    discardSomeReadBytes();
    at.fireChannelReadComplete();
  }

  @Override
  protected void decode(ChannelHandlerContext at, ByteBuf in, List<Object> out) throws Exception {
    if (stopped) {
      in.skipBytes(in.readableBytes());
    } else if (!paused) {
      super.decode(at, in, out);
      paused = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
      long decoded = came - in.readableBytes();
      while (reads.size() > 1 && reads.peek().upTo < decoded) {
        reads.poll();
      }
      wholeAt = paused ? reads.peek().at : wholeAt;
      if (reads.peek().upTo == decoded) {
        reads.poll();
      }
    }
  }

  /** Bytes that came and were not decoded yet. */
  int held() {
    return actualReadableBytes();
  }

  /** Whether what comes now waits undecoded. */
  boolean isPaused() {
    return paused;
  }

  /** Goes on with what came meanwhile. */
  void resume() throws Exception {
    paused = false;
    if (held() > 0) {
      channelRead(context, Unpooled.EMPTY_BUFFER);
    }
  }

  /** Nothing more is wanted: what still comes is dropped unread. */
  void stop() {
    stopped = true;
  }
}
