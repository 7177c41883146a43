package merlinrouter.node.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.http.ResponseDecoder;
import merlinrouter.node.http.ResponseHandler;
import merlinrouter.node.http.StrictDecimal;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.OpenRequest;
import merlinrouter.node.transport.Transport;

/**
 * Connections to app servers, one request on each at a time, and the attempts on them with their
 * outcomes.
 */
public final class UpstreamPool {
  public static final int MOST_BODY = 64 * 1024;
  private static final long MS = 1_000_000L, SWEEP = 1_000 * MS;

  /**
   * A second copy or noise may come right behind an answer: for so long nothing new is written
   * there.
   */
  private static final long REST = 10 * MS;

  /**
   * An answer holds 64 KiB at most: one begun and not whole after so long is spoilt and will not
   * get better.
   */
  private static final long ANSWER_SPAN = 250 * MS;

  /** Between two tries of what failed in this process: short against a connect's time-out. */
  private static final long LOCAL_RETRY = 5 * MS;

  private final AttemptListener listener;
  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final NodeLog log;
  private final long connectTimeout;
  private final Map<String, EndpointPool> endpoints = new HashMap<>();

  /**
   * Who has an address: looked for among all of a thousand, each list would cost a million
   * comparisons.
   */
  private final Map<SocketAddress, EndpointPool> holders = new HashMap<>();

  private final long idleLimit;
  private final int most;
  private final double mostUnits;
  private int connections;

  public UpstreamPool(AttemptListener listener, EventLoop loop, NodeConfig config, NodeLog log) {
    this.listener = listener;
    this.loop = loop;
    this.log = log;
    connectTimeout = Math.max(MS, config.connectTimeout());
    // Well before the app server does: a request written to a connection that it closes ends as a
    // reset.
    idleLimit = config.keepAlive() / 2;
    mostUnits = config.settings().counter().maxRequestUnits();
    most = Math.max(16, config.sockets() * 3 / 8);
    bootstrap =
        Transport.connecting(loop, config.discovery())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeout / MS))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    ResponseDecoder decoder = new ResponseDecoder();
                    channel
                        .pipeline()
                        .addLast(decoder, new HttpRequestEncoder(), new Connection(decoder));
                  }
                });
    loop.scheduleAtFixedRate(this::closeIdle, SWEEP, SWEEP, TimeUnit.NANOSECONDS);
  }

  /** One run of an app server at one address; a restart or a move makes a new one. */
  private static final class EndpointPool {
    private final Endpoint server;
    private final SocketAddress address;
    private final long startedAt;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private boolean retired;

    EndpointPool(EndpointEntry member) {
      server = member.endpoint();
      address = member.address();
      startedAt = server.startedAtNanos();
    }

    /**
     * The connection used last, so that the others may close; if it is too fresh, the one that is
     * least so.
     */
    Connection rested() {
      Connection last = idle.peekFirst();
      if (last != null && last.rested) {
        return idle.pollFirst();
      }
      Connection first = idle.peekLast();
      return first != null && first.rested ? idle.pollLast() : null;
    }

    void closeIdleSince(long due) {
      while (!idle.isEmpty() && idle.peekLast().idleSince - due < 0) {
        idle.pollLast().channel.close();
      }
    }

    void retire() {
      retired = true;
      while (!idle.isEmpty()) {
        idle.poll().channel.close();
      }
    }
  }

  /**
   * Follows the list: connections to what is gone, drains, has moved or has restarted are of no
   * more use. Returns the list as the module should see it. An address belongs to one app server:
   * who started there last has it, and the one before is gone, whether or not discovery has told so
   * yet. Under the old id the new one would be reached unknown, with neither its cold start nor its
   * drain.
   */
  public List<Endpoint> update(EndpointList roll, boolean whole) {
    List<Endpoint> told = new ArrayList<>();
    Set<String> named = new HashSet<>();
    for (EndpointEntry member : roll.entries()) {
      Endpoint server = member.endpoint();
      named.add(server.id());
      boolean ready = server.state() == EndpointState.READY;
      EndpointPool holder = ready ? holder(member) : null;
      if (holder != null && holder.startedAt > server.startedAtNanos()) {
        ready = false;
        server = gone(server);
      } else if (holder != null) {
        told.add(gone(holder.server));
        drop(holder);
      }
      told.add(server);
      EndpointPool known = endpoints.get(server.id());
      boolean same =
          known != null
              && known.address.equals(member.address())
              && known.startedAt == server.startedAtNanos();
      if (known != null && (!ready || !same)) {
        drop(known);
      }
      if (ready && !same) {
        EndpointPool made = new EndpointPool(member);
        endpoints.put(server.id(), made);
        holders.put(made.address, made);
      }
    }
    if (whole) {
      List.copyOf(endpoints.values()).stream()
          .filter(e -> !named.contains(e.server.id()))
          .forEach(this::drop);
    }
    return told;
  }

  private EndpointPool holder(EndpointEntry of) {
    EndpointPool holder = holders.get(of.address());
    return holder == null || holder.server.id().equals(of.endpoint().id()) ? null : holder;
  }

  private static Endpoint gone(Endpoint server) {
    return new Endpoint(
        server.id(),
        server.weight(),
        server.zone(),
        server.cell(),
        server.machineType(),
        EndpointState.REMOVED,
        server.startedAtNanos());
  }

  private void drop(EndpointPool endpoint) {
    endpoint.retire();
    endpoints.remove(endpoint.server.id());
    holders.remove(endpoint.address, endpoint);
  }

  /** Begins an attempt; its outcome is told later, never from within this call. */
  public void send(OpenRequest of, String server, long patience) {
    Attempt attempt = new Attempt(of, server, patience);
    EndpointPool endpoint = endpoints.get(server);
    if (endpoint == null || connections >= most && !makeRoom(endpoint)) {
      loop.execute(() -> attempt.end(Outcome.NOT_SENT, 0, null));
      return;
    }
    attempt.expiry = loop.schedule(attempt::expire, patience, TimeUnit.NANOSECONDS);
    // Looked at here too: the sweep is too coarse where connections may stand idle for a short span
    // only.
    endpoint.closeIdleSince(System.nanoTime() - idleLimit);
    Connection ready = endpoint.rested();
    while (ready != null && !ready.isStillOpen()) {
      ready = endpoint.rested();
    }
    if (ready != null) {
      ready.write(attempt);
    } else {
      connect(endpoint, attempt);
    }
  }

  private void connect(EndpointPool endpoint, Attempt attempt) {
    long left = connectTimeout - (System.nanoTime() - attempt.sentAt);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, left / MS))
            .connect(endpoint.address);
    if (!Transport.hasChannel(connecting)) {
      connectAgain(endpoint, attempt);
      return;
    }
    connections++;
    connecting.channel().closeFuture().addListener(closed -> connections--);
    connecting.addListener(
        done -> {
          if (done.isSuccess() && !endpoint.retired) {
            Connection made = connecting.channel().pipeline().get(Connection.class);
            made.endpoint = endpoint;
            made.write(attempt);
            return;
          }
          connecting.channel().close();
          if (!done.isSuccess() && Transport.isLocalFailure(done.cause())) {
            connectAgain(endpoint, attempt);
          } else {
            attempt.end(Outcome.CONNECT_FAILED, 0, null);
          }
        });
  }

  /**
   * Tries again what failed in this process: nothing has gone to the server, and it is not the
   * server's failure. All tries of an attempt together take no longer than one connect may, which
   * the window of a key relies on.
   */
  private void connectAgain(EndpointPool endpoint, Attempt attempt) {
    log.count(NodeLog.Event.LOCAL_CONNECT_FAILED);
    loop.schedule(
        () -> {
          boolean late = System.nanoTime() - attempt.sentAt > connectTimeout - LOCAL_RETRY;
          if (attempt.over) {
            return;
          }
          if (late || endpoint.retired || !attempt.of.awaited()) {
            attempt.end(Outcome.NOT_SENT, 0, null);
          } else {
            connect(endpoint, attempt);
          }
        },
        LOCAL_RETRY,
        TimeUnit.NANOSECONDS);
  }

  /** At the bound on connections another server's longest idle one gives way. */
  private boolean makeRoom(EndpointPool wanted) {
    if (!wanted.idle.isEmpty()) {
      return true;
    }
    for (EndpointPool endpoint : endpoints.values()) {
      Connection oldest = endpoint.idle.pollLast();
      if (oldest != null) {
        oldest.channel.close();
        return true;
      }
    }
    return false;
  }

  /** How many connections to app servers are open or being opened. */
  public int connections() {
    return connections;
  }

  /** How many of them are idle. */
  public int idle() {
    return endpoints.values().stream().mapToInt(endpoint -> endpoint.idle.size()).sum();
  }

  private void closeIdle() {
    long due = System.nanoTime() - idleLimit;
    for (EndpointPool endpoint : endpoints.values()) {
      endpoint.closeIdleSince(due);
    }
  }

  /** One sending of a request to an app server; it ends exactly once. */
  private final class Attempt {
    private final OpenRequest of;
    private final String server;
    private final long patience, sentAt = System.nanoTime();
    private boolean written, over;
    private Connection on;
    private Future<?> expiry;

    Attempt(OpenRequest of, String server, long patience) {
      this.of = of;
      this.server = server;
      this.patience = patience;
    }

    /** An app server begins a request with its last byte: before that it cannot have run. */
    void broke() {
      end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
    }

    void expire() {
      if (on != null) {
        on.channel.close();
      }
      end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0, null);
    }

    void end(Outcome outcome, double units, ByteBuf body) {
      if (over) {
        return;
      }
      over = true;
      if (expiry != null) {
        expiry.cancel(false);
      }
      if (on != null) {
        on.attempt = null;
      }
      listener.attemptEnded(
          new CompletedAttempt(of, server, outcome, System.nanoTime() - sentAt, units, body));
    }

    FullHttpRequest message() {
      FullHttpRequest message =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, of.method, of.uri, of.body.retainedDuplicate());
      message
          .headers()
          .set(HttpHeaderNames.HOST, "app.svc")
          .set("X-Trace-Id", of.request.id())
          .set("X-Expires-In-Ms", Math.max(1, (patience - (System.nanoTime() - sentAt)) / MS));
      if (of.key != null) {
        message.headers().set("Idempotency-Key", of.key);
      }
      if (of.body.isReadable()) {
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, of.body.readableBytes());
      }
      return message;
    }
  }

  /** A connection to an app server. */
  private final class Connection extends ResponseHandler {
    private final ResponseDecoder decoder;
    private Channel channel;
    private EndpointPool endpoint;
    private Attempt attempt;
    private boolean reusable, rested = true;
    private long idleSince;
    private Future<?> unfinished;

    Connection(ResponseDecoder decoder) {
      super(MOST_BODY);
      this.decoder = decoder;
    }

    /** Not in channelActive: a connect's listeners hear of it before the handlers do. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      channel = context.channel();
    }

    /**
     * Reads what may stand before the next request: the server's close, or what belongs to no
     * request.
     */
    boolean isStillOpen() {
      if (channel.isActive()) {
        ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
      }
      return channel.isActive();
    }

    @Override
    protected boolean takesAnswersWithoutLength() {
      return true;
    }

    void write(Attempt next) {
      if (!next.over && !next.of.awaited()) {
        // The client left while the connect was out: what nobody waits for is not begun.
        log.count(NodeLog.Event.ATTEMPT_WITHHELD);
        next.end(Outcome.NOT_SENT, 0, null);
      }
      if (next.over) {
        release();
        return;
      }
      attempt = next;
      next.on = this;
      channel
          .writeAndFlush(next.message())
          .addListener(
              done -> {
                next.written = done.isSuccess();
                if (!done.isSuccess()) {
                  channel.close();
                  next.broke();
                }
              });
    }

    private void release() {
      if (endpoint.retired || !channel.isActive()) {
        channel.close();
      } else {
        idleSince = System.nanoTime();
        endpoint.idle.push(this);
      }
    }

    @Override
    protected boolean expectsAnswer() {
      return attempt != null && attempt.written;
    }

    @Override
    protected void answered(HttpResponse answer, ByteBuf body) {
      Attempt of = attempt;
      attempt = null;
      of.on = null;
      reusable = HttpUtil.isKeepAlive(answer);
      if (!reusable) {
        channel.close();
      }
      Outcome outcome = outcome(answer);
      of.end(outcome, outcome == Outcome.OK ? units(answer) : 0, body);
    }

    /**
     * Only here, when all that was read has been looked at, is it known whether the connection is
     * clean: what stands behind an answer would be taken for the next request's, which loses that
     * one.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      boolean clean = decoder.isBetween();
      if (attempt != null) {
        awaitRest(!clean);
      } else if (!clean) {
        channel.close();
      } else if (reusable) {
        reusable = false;
        awaitRest(false);
        rest();
        release();
      }
    }

    /**
     * The span alone is not enough: a loop that was held up for so long has not looked at what came
     * meanwhile. A task set for at once from within a task comes after the loop's next look at the
     * sockets.
     */
    private void rest() {
      rested = false;
      loop.schedule(
          () -> loop.schedule(() -> rested = true, 0, TimeUnit.NANOSECONDS),
          REST,
          TimeUnit.NANOSECONDS);
    }

    private void awaitRest(boolean begun) {
      if (begun && unfinished == null) {
        unfinished = loop.schedule(() -> spoilt(), ANSWER_SPAN, TimeUnit.NANOSECONDS);
      } else if (!begun && unfinished != null) {
        unfinished.cancel(false);
        unfinished = null;
      }
    }

    private Outcome outcome(HttpResponse answer) {
      int status = answer.status().code();
      if (status == 200) {
        return Outcome.OK;
      }
      boolean neverRan =
          (status == 503 || status == 504) && "1".equals(answer.headers().get("X-Never-Ran"));
      return neverRan ? Outcome.REJECTED : Outcome.ERROR;
    }

    /** A figure that cannot be read, or more than a request may count, is as good as none. */
    private double units(HttpResponse answer) {
      double units = StrictDecimal.amount(answer.headers().get("X-Units-Charged"), mostUnits);
      return Double.isNaN(units) ? 0 : units;
    }

    /** The connection's end, or the end of its use. */
    @Override
    protected void spoilt() {
      awaitRest(false);
      if (attempt != null) {
        log.request(NodeLog.Event.SPOILT_ANSWER, attempt.of.request.id(), "by " + attempt.server);
      }
      if (endpoint != null) {
        endpoint.idle.remove(this);
      }
      // The close comes first: a further attempt must not meet this one on an open connection.
      channel.close();
      if (attempt != null) {
        attempt.broke();
      }
    }
  }
}
