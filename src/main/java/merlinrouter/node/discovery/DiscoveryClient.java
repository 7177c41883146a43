package merlinrouter.node.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.EndpointListReader;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.config.SettingNames;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.Transport;

/**
 * Watches the list of app servers, from the last revision heard on. What discovery's agent holds
 * counts as told whether or not a watch is open, so one that ends, falls silent or stays mute is
 * replaced well within the span that a drain allows.
 */
public final class DiscoveryClient {
  /**
   * A line comes every 2 s at least, and what a silent watch misses counts as told 6 s after it
   * fell silent.
   */
  private static final int SILENCE_S = 3;

  private static final int CONNECT_MS = 1_000, MOST_LINE = 1 << 20;

  /**
   * A list is written in one go: one begun and not whole after this was cut. Ours; half of a
   * drain's second.
   */
  private static final long UNFINISHED_MS = 500;

  /**
   * A watch that has not answered after this has another opened beside it: the agent answers at
   * once, and one that was silent counts what it gets at its return as told. Ours; half of a
   * drain's second. The earlier ones stay, so many at most, since one of them may be answered yet.
   */
  private static final long MUTE_MS = 500;

  private static final int MOST_MUTE = 4;

  /** Pushed lists come from an agent that answers free. Ours. */
  private static final long FIRST_BACKOFF_MS = 100, MOST_BACKOFF_MS = 250;

  /**
   * A discovery that must be asked is spared, but whatever calls fail, a change counts as told 6 s
   * after it had it and could be reached: behind a silence of 3 s, a pause and a call that stays
   * mute there is time for another.
   */
  private static final long MOST_ASKING_MS = 500, MUTE_ASKING_MS = 1_000;

  private static final long PATIENCE_MS = 1_000;

  private final EndpointListListener listener;
  private final NodeLog log;
  private final EventLoop loop;
  private final SettingNames names;
  private final Bootstrap bootstrap;
  private final long mostBackoff, mutePatience;

  /** Watches that have not been answered yet, the oldest first. */
  private final ArrayDeque<Channel> mute = new ArrayDeque<>();

  private SocketAddress address;

  /** The watch that is being listened to; null while none has answered. */
  private Channel speaking;

  private Future<?> next;
  private long revision, backoff = FIRST_BACKOFF_MS;
  private boolean heard;
  private int opened;

  public DiscoveryClient(
      EndpointListListener listener, EventLoop loop, NodeConfig config, NodeLog log) {
    this.listener = listener;
    this.log = log;
    this.loop = loop;
    names = config.names();
    address = config.discovery();
    boolean asked = config.settings().limits().endpointSubscription();
    mostBackoff = asked ? MOST_ASKING_MS : MOST_BACKOFF_MS;
    mutePatience = asked ? MUTE_ASKING_MS : MUTE_MS;
    bootstrap =
        Transport.connecting(loop, config.discovery())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    Lists lists = new Lists();
                    channel
                        .pipeline()
                        .addLast(
                            new ReadTimeoutHandler(SILENCE_S),
                            new HttpClientCodec(),
                            new Watch(lists),
                            lists,
                            new Reader());
                  }
                });
  }

  public void start(long known) {
    revision = known;
    // A discovery that is down must not keep the edge node from serving by the list it has.
    loop.schedule(() -> heard = true, PATIENCE_MS, TimeUnit.MILLISECONDS);
    watch();
  }

  /** Whether a first message has come, or has been waited for long enough. */
  public boolean heard() {
    return heard;
  }

  /** How many watches were opened so far, and how many of these are out. */
  public int opened() {
    return opened;
  }

  public int out() {
    return mute.size() + (speaking == null ? 0 : 1);
  }

  /**
   * From now on watches elsewhere. The list is kept: what changed since then is the new watch's to
   * tell.
   */
  public void move(SocketAddress to) {
    if (to.equals(address)) {
      return;
    }
    address = to;
    backoff = FIRST_BACKOFF_MS;
    Channel old = speaking;
    speaking = null;
    List<Channel> unanswered = List.copyOf(mute);
    mute.clear();
    watch();
    unanswered.forEach(Channel::close);
    if (old != null) {
      old.close();
    }
  }

  private void watch() {
    if (mute.size() >= MOST_MUTE) {
      mute.poll().close();
    }
    ChannelFuture connecting = bootstrap.connect(address);
    if (!Transport.hasChannel(connecting)) {
      log.count(NodeLog.Event.LOCAL_CONNECT_FAILED);
      watchAfter(FIRST_BACKOFF_MS);
      return;
    }
    Channel channel = connecting.channel();
    mute.add(channel);
    opened++;
    channel.closeFuture().addListener(closed -> ended(channel));
    watchAfter(mutePatience);
  }

  private void watchAfter(long ms) {
    if (next != null) {
      next.cancel(false);
    }
    next = loop.schedule(this::watch, ms, TimeUnit.MILLISECONDS);
  }

  private void ended(Channel channel) {
    boolean last = channel == speaking;
    if (last) {
      speaking = null;
    }
    // Else it was given up, or others are out and the next one's time is set.
    if (last || mute.remove(channel) && mute.isEmpty() && speaking == null) {
      watchAfter(backoff);
      backoff = Math.min(mostBackoff, 2 * backoff);
    }
  }

  private void answered(Channel channel) {
    if (mute.remove(channel)) {
      next.cancel(false);
      speaking = channel;
      List<Channel> others = List.copyOf(mute);
      mute.clear();
      others.forEach(Channel::close);
    }
  }

  /** The HTTP side of a watch: a chunked answer that stays open. */
  private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
    private final Lists lists;
    private Future<?> unfinished;
    private boolean ended;

    Watch(Lists lists) {
      this.lists = lists;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, "/catalog/members?watch=1&after=" + revision);
      request.headers().set(HttpHeaderNames.HOST, "discovery");
      context.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      // The rest of what was read goes on arriving after a close: the body of an error is no list.
      ended |=
          part.decoderResult().isFailure()
              || part instanceof HttpResponse response && response.status().code() != 200;
      if (!ended) {
        answered(context.channel());
      }
      if (ended || context.channel() != speaking) {
        context.close();
        return;
      }
      if (part instanceof HttpContent content) {
        context.fireChannelRead(content.content().retain());
        await(context);
      }
      if (part instanceof LastHttpContent) {
        context.close();
      }
    }

    /**
     * A list that was cut would have the next ones taken for its rest, and the watch for a live
     * one.
     */
    private void await(ChannelHandlerContext context) {
      if (lists.isBetween() && unfinished != null) {
        unfinished.cancel(false);
        unfinished = null;
      } else if (!lists.isBetween() && unfinished == null) {
        unfinished =
            loop.schedule(
                () -> spoilt(context, new InvalidConfigException("discovery's list was cut")),
                UNFINISHED_MS,
                TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (unfinished != null) {
        unfinished.cancel(false);
      }
      ended = true;
      context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (!ended) {
        spoilt(context, cause);
      }
      ended = true;
    }
  }

  /** Silence is so usual while discovery is down that it is worth no line. */
  private static void spoilt(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof ReadTimeoutException) && context.channel().isOpen()) {
      // What could not be read may be a megabyte of noise.
      boolean noise =
          cause instanceof DecoderException
              && !(cause.getCause() instanceof InvalidConfigException);
      ErrorLog.report(
          "discovery", noise ? new InvalidConfigException("what came is no list") : cause);
    }
    context.close();
  }

  /** Finds where each list ends: one may stand on a line or be indented over many. */
  private static final class Lists extends JsonObjectDecoder {
    Lists() {
      super(MOST_LINE);
    }

    boolean isBetween() {
      return actualReadableBytes() == 0;
    }
  }

  /** Reads each list as it gets whole. */
  private final class Reader extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf text)
        throws InvalidConfigException {
      if (context.channel() != speaking || !context.channel().isOpen()) {
        return;
      }
      EndpointList roll = EndpointListReader.parse(text.toString(StandardCharsets.UTF_8), names);
      listener.endpointsUpdated(
          roll, roll.complete() ? EndpointUpdateType.FULL : EndpointUpdateType.DELTA);
      revision = roll.revision();
      heard = true;
      backoff = FIRST_BACKOFF_MS;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      spoilt(context, cause);
    }
  }
}
