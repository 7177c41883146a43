package merlinrouter.node.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.config.SettingNames;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.Transport;

/**
 * Watches the endpoint list for changes after the last revision received. By the rules of the
 * service, a node is considered notified of a change some time after discovery published it,
 * whether or not a watch was open. A watch that ends, falls silent, gets no response or stops in
 * the middle of a list is therefore replaced early enough for the next one to deliver the change by
 * then. The replacement is opened beside a watch whose response or rest of a list may still follow:
 * the first of them that delivers a list stays open. Used on the event loop only.
 */
public final class DiscoveryClient {
  /** Maximum number of watches that are open or being opened. */
  private static final int MAX_OPEN_WATCHES = 12;

  /**
   * At the maximum, the oldest watches stay open, in case that discovery needs long. The others are
   * replaced one after another, in case that it does not respond on connections of before; each is
   * open for at least as many hedging delays as there are others.
   */
  private static final int MAX_RETAINED_WATCHES = 3;

  private static final long INITIAL_BACKOFF_MILLIS = 100;

  /** Time after the start from which the node is ready even without an update by discovery. */
  private static final long READY_TIMEOUT_MILLIS = 1_000;

  private final EndpointListListener listener;
  private final EventLoop loop;
  private final NodeLog log;
  private final WatchLog watchLog;
  private final WatchTimeouts timeouts;
  private final Bootstrap bootstrap;

  /** The watches that are read, open or being opened, the oldest first. */
  private final Map<Channel, Watch> watches = new LinkedHashMap<>();

  private SocketAddress address;
  private Future<?> nextWatch;
  private EndpointListMerger merger;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private final CompletableFuture<Void> firstUpdate = new CompletableFuture<>();
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
    watchLog = new WatchLog(log);
    address = config.discovery();
    timeouts = WatchTimeouts.of(config.settings().limits().endpointSubscription());
    bootstrap =
        Transport.clientBootstrap(loop, config.discovery())
            // The timeout of the watch includes the connect.
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(initializer(config.names()));
  }

  private ChannelInitializer<Channel> initializer(SettingNames names) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channel
            .pipeline()
            .addLast(
                new HttpClientCodec(),
                new WatchHandler(DiscoveryClient.this),
                new EndpointListHandler(DiscoveryClient.this, names));
      }
    };
  }

  /**
   * Opens the first watch.
   *
   * @param known the list already known; watches request later changes
   */
  public void start(EndpointList known) {
    merger = new EndpointListMerger(known);
    // An unavailable discovery must not keep the node from serving with the list that it has.
    loop.schedule(this::setReady, READY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    openWatch();
  }

  private void setReady() {
    ready = true;
    firstUpdate.complete(null);
  }

  /**
   * Returns a future that completes once discovery has delivered an update, or has reported that
   * there is none, or the timeout for that has passed: before, the known list may name endpoints
   * that drain. May be called on any thread.
   */
  public CompletableFuture<Void> firstUpdate() {
    return firstUpdate;
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
    return watches.size();
  }

  /** Replaces all watches with one at another address, for changes after the last revision. */
  public void switchTo(SocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
    List<Watch> previous = List.copyOf(watches.values());
    previous.forEach(this::stopReading);
    openWatch();
    previous.forEach(watch -> watch.channel().close());
  }

  private void openWatch() {
    if (watches.size() >= MAX_OPEN_WATCHES) {
      closeLeastProgressed();
    }
    ChannelFuture connecting = bootstrap.connect(address);
    if (!Transport.hasChannel(connecting)) {
      log.count(NodeLog.Event.LOCAL_CONNECT_FAILED);
      scheduleWatch(INITIAL_BACKOFF_MILLIS);
      return;
    }
    Channel channel = connecting.channel();
    totalWatches++;
    watches.put(channel, new Watch(totalWatches, channel, this::giveUp));
    channel.closeFuture().addListener(closed -> watchEnded(channel));
    scheduleWatch(timeouts.hedgingDelayMillis());
  }

  /** Makes room for another watch. */
  private void closeLeastProgressed() {
    watches.values().stream()
        .skip(MAX_RETAINED_WATCHES)
        .max(Comparator.comparingLong(Watch::nanosWithoutProgress))
        .ifPresent(this::giveUp);
  }

  private void scheduleWatch(long delayMillis) {
    cancelNextWatch();
    nextWatch = loop.schedule(this::openWatch, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void cancelNextWatch() {
    if (nextWatch != null) {
      nextWatch.cancel(false);
    }
  }

  private void stopReading(Watch watch) {
    watches.remove(watch.channel());
    watch.stopTimeout();
  }

  private void close(Watch watch) {
    stopReading(watch);
    watch.channel().close();
  }

  /** Closes a watch that is waited for no longer. The entries that it delivered are applied. */
  private void giveUp(Watch watch) {
    watchLog.givenUp(watch);
    deliverIncompleteList(watch);
    close(watch);
    watchRemoved();
  }

  private static void deliverIncompleteList(Watch watch) {
    EndpointListHandler lists = watch.channel().pipeline().get(EndpointListHandler.class);
    if (lists != null) {
      lists.deliverIncompleteList();
    }
  }

  private void closeAllExcept(Watch retained, Predicate<Watch> closed) {
    for (Watch watch : List.copyOf(watches.values())) {
      if (watch != retained && closed.test(watch)) {
        close(watch);
      }
    }
  }

  private void watchEnded(Channel channel) {
    Watch ended = watches.get(channel);
    if (ended == null) {
      return;
    }
    watchLog.ended(ended);
    deliverIncompleteList(ended);
    stopReading(ended);
    watchRemoved();
  }

  private void watchRemoved() {
    if (watches.isEmpty()) {
      scheduleWatch(backoffMillis);
      backoffMillis = Math.min(timeouts.maxBackoffMillis(), 2 * backoffMillis);
    } else {
      cancelNextWatchUnlessPending();
    }
  }

  /** While a response or the rest of a list is awaited, the next watch is already scheduled. */
  private void cancelNextWatchUnlessPending() {
    if (watches.values().stream().noneMatch(Watch::isPending)) {
      cancelNextWatch();
    }
  }

  /**
   * Handles the start of a response: the other watches are closed, except those that have delivered
   * a part of a list. Has no effect after the first call for a watch.
   */
  void responseStarted(Channel channel) {
    Watch answered = watches.get(channel);
    if (answered != null && answered.isUnanswered()) {
      watchLog.answered(answered);
      answered.responseStarted();
      closeAllExcept(answered, watch -> !watch.isListIncomplete());
      cancelNextWatchUnlessPending();
    }
  }

  /** Returns whether lists that this watch delivers are applied. */
  boolean isRead(Channel channel) {
    return watches.containsKey(channel);
  }

  /** Returns the revision of the last complete list, or the known one before the first. */
  long revision() {
    return merger.revision();
  }

  /**
   * Handles a part of a list that is still incomplete: another watch is opened if the next part
   * takes too long.
   */
  void listPartReceived(Channel channel, boolean whiteSpaceOnly) {
    Watch watch = watches.get(channel);
    if (watch == null) {
      return;
    }
    watch.listPartReceived(whiteSpaceOnly);
    if (!whiteSpaceOnly) {
      scheduleWatch(timeouts.hedgingDelayMillis());
    }
  }

  /** Handles a part of a response after which no list is incomplete. */
  void upToDate(Channel channel) {
    Watch watch = watches.get(channel);
    if (watch != null) {
      watch.upToDate();
      cancelNextWatchUnlessPending();
    }
  }

  /** Handles an empty line, by which discovery reports that there is no further change. */
  void unchanged() {
    firstUpdate.complete(null);
  }

  /** Handles entries of an incomplete list, which take effect before the rest of it arrives. */
  void entriesReceived(EndpointList part) {
    EndpointList changes = merger.mergePart(part);
    if (!changes.entries().isEmpty()) {
      listener.endpointsUpdated(changes, EndpointUpdateType.DELTA);
    }
  }

  /** Handles a list that a watch has delivered: the other watches are closed. */
  void updateReceived(Channel channel, EndpointList update) {
    Watch delivering = watches.get(channel);
    watchLog.listReceived(delivering, update);
    closeAllExcept(delivering, watch -> true);
    EndpointList merged = merger.mergeList(update);
    listener.endpointsUpdated(
        merged, merged.complete() ? EndpointUpdateType.FULL : EndpointUpdateType.DELTA);
    setReady();
    backoffMillis = INITIAL_BACKOFF_MILLIS;
  }
}
