package merlinrouter.node.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.config.SettingNames;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.Transport;

/**
 * Watches the endpoint list for changes after the last revision received. By the rules of the
 * service, a node is considered notified of a change some time after discovery published it,
 * whether or not a watch was open. A watch that ends, falls silent or gets no response is therefore
 * replaced early enough for the next one to deliver the change by then. Used on the event loop
 * only.
 */
public final class DiscoveryClient {
  /**
   * Discovery writes to a watch at least every 2 s. A node is considered notified of the changes
   * that a silent watch missed 6 s after the silence began.
   */
  private static final int READ_TIMEOUT_SECONDS = 3;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Watches without a response stay open, since a response may follow, but at most this many. */
  private static final int MAX_UNANSWERED_WATCHES = 4;

  private static final long INITIAL_BACKOFF_MILLIS = 100;

  /** Time after the start from which the node is ready even without an update by discovery. */
  private static final long READY_TIMEOUT_MILLIS = 1_000;

  private final EndpointListListener listener;
  private final EventLoop loop;
  private final NodeLog log;
  private final WatchTimeouts timeouts;
  private final Bootstrap bootstrap;

  /** Open watches without a response, the oldest first. */
  private final ArrayDeque<Channel> unanswered = new ArrayDeque<>();

  private SocketAddress address;

  /** The watch whose lists are read; null while no open watch has a response. */
  private Channel current;

  private Future<?> nextWatch;
  private long revision;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private boolean ready;
  private int totalWatches;

  /**
   * Creates a client that does not connect yet.
   *
   * @param listener notified of updates
   * @param loop the event loop that the client runs on
   * @param config provides discovery's address, the names in its lists and how lists are delivered
   * @param log counts failures
   */
  public DiscoveryClient(
      EndpointListListener listener, EventLoop loop, NodeConfig config, NodeLog log) {
    this.listener = listener;
    this.loop = loop;
    this.log = log;
    address = config.discovery();
    timeouts = WatchTimeouts.of(config.settings().limits().endpointSubscription());
    bootstrap =
        Transport.clientBootstrap(loop, config.discovery())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(initializer(config.names()));
  }

  private ChannelInitializer<Channel> initializer(SettingNames names) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        EndpointListFramer framer = new EndpointListFramer();
        channel
            .pipeline()
            .addLast(
                new ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                new HttpClientCodec(),
                new WatchHandler(DiscoveryClient.this, framer),
                framer,
                new EndpointListHandler(DiscoveryClient.this, names));
      }
    };
  }

  /**
   * Opens the first watch.
   *
   * @param knownRevision revision of the list already known; watches request later changes
   */
  public void start(long knownRevision) {
    revision = knownRevision;
    // An unavailable discovery must not keep the node from serving with the list that it has.
    loop.schedule(() -> ready = true, READY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    openWatch();
  }

  /** Returns whether an update was received or the timeout for the first one has passed. */
  public boolean isReady() {
    return ready;
  }

  /** Returns how many watches have been opened so far. */
  public int totalWatchCount() {
    return totalWatches;
  }

  /** Returns how many watches are open or being opened. */
  public int openWatchCount() {
    return unanswered.size() + (current == null ? 0 : 1);
  }

  /** Replaces all watches with one at another address, for changes after the last revision. */
  public void switchTo(SocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
    Channel previous = current;
    current = null;
    List<Channel> previousUnanswered = List.copyOf(unanswered);
    unanswered.clear();
    openWatch();
    previousUnanswered.forEach(Channel::close);
    if (previous != null) {
      previous.close();
    }
  }

  private void openWatch() {
    if (unanswered.size() >= MAX_UNANSWERED_WATCHES) {
      unanswered.poll().close();
    }
    ChannelFuture connecting = bootstrap.connect(address);
    if (!Transport.hasChannel(connecting)) {
      log.count(NodeLog.Event.LOCAL_CONNECT_FAILED);
      scheduleWatch(INITIAL_BACKOFF_MILLIS);
      return;
    }
    Channel channel = connecting.channel();
    unanswered.add(channel);
    totalWatches++;
    channel.closeFuture().addListener(closed -> watchEnded(channel));
    scheduleWatch(timeouts.responseTimeoutMillis());
  }

  private void scheduleWatch(long delayMillis) {
    if (nextWatch != null) {
      nextWatch.cancel(false);
    }
    nextWatch = loop.schedule(this::openWatch, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void watchEnded(Channel channel) {
    boolean wasCurrent = channel == current;
    if (wasCurrent) {
      current = null;
    }
    // A watch that is neither current nor unanswered was replaced. While other unanswered watches
    // are open, the next one is already scheduled.
    boolean wasUnanswered = unanswered.remove(channel);
    boolean wasLastUnanswered = wasUnanswered && unanswered.isEmpty() && current == null;
    if (wasCurrent || wasLastUnanswered) {
      scheduleWatch(backoffMillis);
      backoffMillis = Math.min(timeouts.maxBackoffMillis(), 2 * backoffMillis);
    }
  }

  /**
   * Handles the start of a response: an unanswered watch becomes the current one, and the other
   * unanswered ones are closed. Has no effect if the watch is not among the unanswered ones.
   */
  void responseStarted(Channel channel) {
    if (unanswered.remove(channel)) {
      nextWatch.cancel(false);
      current = channel;
      List<Channel> others = List.copyOf(unanswered);
      unanswered.clear();
      others.forEach(Channel::close);
    }
  }

  /** Returns whether this is the watch whose lists are read. */
  boolean isCurrent(Channel channel) {
    return channel == current;
  }

  /** Returns the last revision received, or the known one before the first update. */
  long revision() {
    return revision;
  }

  /** Handles an update received by the current watch. */
  void updateReceived(EndpointList update) {
    listener.endpointsUpdated(
        update, update.complete() ? EndpointUpdateType.FULL : EndpointUpdateType.DELTA);
    revision = update.revision();
    ready = true;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
  }
}
