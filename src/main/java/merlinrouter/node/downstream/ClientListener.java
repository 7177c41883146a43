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
import merlinrouter.node.transport.EventLoops;
import merlinrouter.node.transport.Transport;

/** Listens for client connections, and stops listening in a drain. */
public final class ClientListener {
  private static final int BACKLOG = 512;

  /** Bytes of one read from a connection. */
  private static final int MIN_READ_BYTES = 512;

  private static final int INITIAL_READ_BYTES = 1024;
  private static final int MAX_READ_BYTES = 8 * 1024;

  private static final long TIMEOUT_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Longer than accepting pauses after a failure ({@link AcceptThrottle}). */
  private static final long ACCEPT_PAUSE_RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final long BIND_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** A restart has 10 s in all. */
  private static final long BIND_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final RequestHandler handler;
  private final EventLoop loop;
  private final SocketAddress listenAddress;
  private final MemoryBudget budget;
  private final RequestParser parser;
  private final ConnectionRegistry registry;
  private AcceptThrottle acceptThrottle;
  private Channel listeningChannel;
  private long bindStartedNanos;

  /**
   * Creates a listener that is not bound yet.
   *
   * @param budget counts the bytes that requests hold
   */
  public ClientListener(
      RequestHandler handler, EventLoop loop, NodeConfig config, MemoryBudget budget) {
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
    loop.scheduleAtFixedRate(
        registry::enforceTimeouts,
        TIMEOUT_CHECK_INTERVAL_NANOS,
        TIMEOUT_CHECK_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  /**
   * Binds the listening socket, with retries. Called on any thread.
   *
   * @return completes when clients can connect; never if a drain started before that
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
    return new ClientConnection(channel, handler, parser, budget, registry, acceptThrottle);
  }

  private void bindCompleted(ChannelFuture future, CompletableFuture<Void> bound) {
    if (future.isSuccess()) {
      listeningChannel = future.channel();
      bound.complete(null);
    } else if (System.nanoTime() - bindStartedNanos > BIND_TIMEOUT_NANOS) {
      bound.completeExceptionally(future.cause());
    } else {
      // The previous process may hold the address for a moment, or resources may be short.
      loop.schedule(
          () -> tryBindUnlessDraining(bound), BIND_RETRY_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /** Where clients connect. Called on any thread, after {@link #bind} has completed. */
  public SocketAddress address() {
    return listeningChannel.localAddress();
  }

  /**
   * Starts a drain: each connection closes with its next response, while new ones are still
   * accepted.
   *
   * @return whether clients may be connected
   */
  public boolean startDraining() {
    registry.startDraining();
    if (listeningChannel != null) {
      // One poll must be able to accept the whole backlog: the last one before the socket closes.
      MaxMessagesRecvByteBufAllocator allocator =
          listeningChannel.config().getRecvByteBufAllocator();
      allocator.maxMessagesPerRead(BACKLOG);
    }
    return listeningChannel != null;
  }

  /**
   * Ends a drain: closes the listening socket and the connections between requests.
   *
   * @param drained completes when no connection is left
   */
  public void stopAccepting(CompletableFuture<Void> drained) {
    if (listeningChannel != null && acceptThrottle.mayHoldConnectionsBack(listeningChannel)) {
      // Closing the socket would reset connections that are established but not accepted yet.
      EventLoops.runAfterNextPoll(loop, ACCEPT_PAUSE_RECHECK_NANOS, () -> stopAccepting(drained));
      return;
    }
    registry.setDrained(drained);
    if (listeningChannel != null) {
      listeningChannel.close();
    }
    registry.closeIdleConnections("graceful shutdown");
    registry.completeDrainIfEmpty();
  }

  /** How many connections are open. Called on any thread but the event loop's. */
  public int connectionCount() throws Exception {
    return loop.submit(registry::size).get();
  }

  /** How many connections are not read from at present, since they have sent too much ahead. */
  public int readingPausedCount() {
    return registry.readingPausedCount();
  }

  /** Whether the listening socket has been bound. */
  public boolean isListening() {
    return listeningChannel != null;
  }
}
