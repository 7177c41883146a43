package merlinrouter.node.downstream;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.http.DecodingScheduler;
import merlinrouter.node.transport.EventLoops;
import merlinrouter.node.transport.Transport;

/** Listens for client connections, and stops listening as part of a drain. */
public final class ClientListener {
  private static final int BACKLOG = 512;

  /** Smallest size of one read from a connection; the size adapts to the traffic. */
  private static final int MIN_READ_BYTES = 512;

  private static final int INITIAL_READ_BYTES = 1024;
  private static final int MAX_READ_BYTES = 8 * 1024;

  private static final long TIMEOUT_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Longer than the pause after a failed accept ({@link AcceptThrottle}). */
  private static final long ACCEPT_PAUSE_RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final long BIND_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Only a part of the 10 s that a restart may take in total. */
  private static final long BIND_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final RequestHandler handler;
  private final EventLoop loop;
  private final SocketAddress listenAddress;
  private final MemoryBudget budget;
  private final RequestParser parser;
  private final ConnectionRegistry registry;
  private final DecodingScheduler decodingScheduler;
  private AcceptThrottle acceptThrottle;
  private Channel listeningChannel;
  private long bindStartedNanos;

  /**
   * Creates a listener that is not bound yet.
   *
   * @param budget limits the bytes held by the requests of all connections
   * @param decodingScheduler shares the event loop among the requests of all connections
   */
  public ClientListener(
      RequestHandler handler,
      EventLoop loop,
      NodeConfig config,
      MemoryBudget budget,
      DecodingScheduler decodingScheduler) {
    this.handler = handler;
    this.loop = loop;
    this.budget = budget;
    listenAddress = config.listen();
    parser =
        new RequestParser(
            config.names().classes(),
            config.names().plans(),
            config.settings(),
            handler::deadlineNanos);
    registry = new ConnectionRegistry(config.maxSockets());
    this.decodingScheduler = decodingScheduler;
    loop.scheduleAtFixedRate(
        registry::enforceTimeouts,
        TIMEOUT_CHECK_INTERVAL_NANOS,
        TIMEOUT_CHECK_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  /**
   * Binds the listening socket, with retries. May be called on any thread.
   *
   * @return a future that completes when clients can connect, exceptionally if all retries failed,
   *     or never if a drain starts first
   */
  public CompletableFuture<Void> bind() {
    CompletableFuture<Void> bound = new CompletableFuture<>();
    loop.execute(
        () -> {
          bindStartedNanos = System.nanoTime();
          tryBindUnlessDraining(bound);
        });
    return bound;
  }

  private void tryBindUnlessDraining(CompletableFuture<Void> bound) {
    if (!registry.isDraining()) {
      tryBind(bound);
    }
  }

  private void tryBind(CompletableFuture<Void> bound) {
    acceptThrottle = new AcceptThrottle(handler.log(), handler::previousPollNanos);
    Transport.serverBootstrap(loop, listenAddress)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
        .handler(acceptThrottle)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                newConnection(channel).configurePipeline();
              }
            })
        // Netty completes the future on another thread if the process could not create a socket.
        .bind(listenAddress)
        .addListener(
            (ChannelFutureListener) future -> loop.execute(() -> bindCompleted(future, bound)));
  }

  private ClientConnection newConnection(Channel channel) {
    return new ClientConnection(
        channel, handler, parser, budget, registry, acceptThrottle, decodingScheduler);
  }

  private void bindCompleted(ChannelFuture future, CompletableFuture<Void> bound) {
    if (future.isSuccess()) {
      listeningChannel = future.channel();
      bound.complete(null);
    } else if (System.nanoTime() - bindStartedNanos > BIND_TIMEOUT_NANOS) {
      bound.completeExceptionally(future.cause());
    } else {
      // The previous process may still hold the address, or resources may be short.
      loop.schedule(
          () -> tryBindUnlessDraining(bound), BIND_RETRY_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Returns the address that clients connect to. May be called on any thread after {@link #bind}
   * has completed.
   */
  public SocketAddress address() {
    return listeningChannel.localAddress();
  }

  /**
   * Starts a drain: each connection closes with its next response, while new ones are still
   * accepted.
   *
   * @return whether the socket is bound, so that clients may be connected
   */
  public boolean startDraining() {
    registry.startDraining();
    if (listeningChannel != null) {
      // The last poll before the socket closes must be able to accept the whole backlog.
      MaxMessagesRecvByteBufAllocator allocator =
          listeningChannel.config().getRecvByteBufAllocator();
      allocator.maxMessagesPerRead(BACKLOG);
    }
    return listeningChannel != null;
  }

  /**
   * Continues a drain: closes the listening socket, once all waiting connections are accepted, and
   * the connections between requests.
   *
   * @param drained completed when no connection is left
   */
  public void stopAccepting(CompletableFuture<Void> drained) {
    if (listeningChannel != null && acceptThrottle.mayHaveUnacceptedConnections(listeningChannel)) {
      // Closing the socket would reset connections that are established but not accepted yet.
      EventLoops.runAfterNextPoll(loop, ACCEPT_PAUSE_RECHECK_NANOS, () -> stopAccepting(drained));
      return;
    }
    registry.stopAccepting(drained);
    if (listeningChannel != null) {
      listeningChannel.close();
    }
    registry.closeIdleConnections("graceful shutdown");
    registry.completeDrainIfEmpty();
  }

  /** Returns how many connections are open. Must not be called on the event loop: it blocks. */
  public int connectionCount() throws Exception {
    return loop.submit(registry::size).get();
  }

  /**
   * Returns how many connections are not being read: they have sent too many bytes of pipelined
   * requests, or are closing after a rejected request.
   */
  public int readingPausedCount() {
    return registry.readingPausedCount();
  }

  /** Returns how many connections have received a request, are kept and are idle. */
  int idleConnectionCount() {
    return registry.idleCount();
  }

  /** Returns whether the listening socket has been bound. */
  public boolean isListening() {
    return listeningChannel != null;
  }
}
