package merlinrouter.node;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import merlinrouter.gateway.Gateway;
import merlinrouter.gateway.GatewayActions;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.counter.CounterClient;
import merlinrouter.node.counter.CounterResult;
import merlinrouter.node.downstream.MemoryBudget;
import merlinrouter.node.http.DecodingScheduler;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.monitoring.ResponseTimes;
import merlinrouter.node.request.InvariantGuard;
import merlinrouter.node.request.OpenRequest;
import merlinrouter.node.request.ReplayCache;
import merlinrouter.node.request.RequestTimeline;
import merlinrouter.node.request.ResponseSink;
import merlinrouter.node.upstream.AttemptListener;
import merlinrouter.node.upstream.CompletedAttempt;
import merlinrouter.node.upstream.UpstreamPool;
import merlinrouter.settings.RequestClass;

/**
 * Hosts the gateway: keeps the open requests, delivers events to the gateway, and carries out the
 * actions that it requests. Used on the event loop only.
 */
final class GatewayHost implements GatewayActions, AttemptListener {
  /**
   * How long after the gateway's deadline a request without a response is failed: less than the
   * {@link DeadlineMargin}, so that the response precedes the client's own deadline unless the
   * client's timeout is only a few milliseconds.
   */
  private static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(6);

  private static final long MIN_ATTEMPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final EventLoop loop;
  private final NodeConfig config;
  private final NodeLog log;
  private final NodeClock clock;
  private final MemoryBudget budget;
  private final InvariantGuard guard;
  private final EventDelivery events;
  private final ResponseTimes responseTimes;
  private final UpstreamPool upstreamPool;
  private final CounterClient counterClient;
  private final ClientDeadlines clientDeadlines = new ClientDeadlines();
  private final Map<String, OpenRequest> openRequests = new HashMap<>();
  private final ReplayCache replayCache = new ReplayCache();
  private Gateway gateway;

  GatewayHost(
      EventLoop loop,
      NodeConfig config,
      NodeLog log,
      NodeClock clock,
      MemoryBudget budget,
      InvariantGuard guard,
      ResponseTimes responseTimes,
      DecodingScheduler responseDecoding) {
    this.loop = loop;
    this.config = config;
    this.log = log;
    this.clock = clock;
    this.budget = budget;
    this.guard = guard;
    this.responseTimes = responseTimes;
    events = new EventDelivery(loop, clock, log, this::failExpired);
    upstreamPool = new UpstreamPool(this, loop, config, log, responseDecoding);
    counterClient = new CounterClient(this::counterCallEnded, loop, config);
  }

  /** Starts the gateway. Must be called before any event is delivered. */
  void start() {
    gateway = new Gateway(config.settings(), config.seed(), clock.nowNanos(), this);
  }

  boolean isStarted() {
    return gateway != null;
  }

  UpstreamPool upstreamPool() {
    return upstreamPool;
  }

  CounterClient counterClient() {
    return counterClient;
  }

  /** Returns how many requests are open: without a response, or with an attempt in flight. */
  int openRequestCount() {
    return openRequests.size();
  }

  /**
   * Accepts a request and passes it to the gateway.
   *
   * @return false, with nothing done, if a request with the same id is open, or has ended and must
   *     not be executed again
   */
  boolean accept(OpenRequest request) {
    if (replayCache.forbids(request) || openRequests.putIfAbsent(request.id(), request) != null) {
      return false;
    }
    endOnError(request, () -> open(request));
    return true;
  }

  private void open(OpenRequest request) {
    long overdueAtNanos = request.clientRequest().deadlineNanos() + OVERDUE_NANOS;
    request.setOverdueTimer(
        loop.schedule(
            () -> failOverdue(request),
            Math.max(0, overdueAtNanos - clock.nowNanos()),
            TimeUnit.NANOSECONDS));
    budget.change(request.body().readableBytes());
    deliverOrEnd(request, now -> gateway.requestReceived(now, request.clientRequest()));
    if (!request.isResponded()) {
      clientDeadlines.add(request);
    }
  }

  /**
   * Fails the requests whose clients have stopped waiting. After a stall of the event loop this
   * precedes the events that were delayed by it, so that the time these take, or another stall,
   * does not delay the responses further.
   */
  private void failExpired() {
    OpenRequest request = clientDeadlines.pollExpired();
    while (request != null) {
      failOverdue(request);
      request = clientDeadlines.pollExpired();
    }
  }

  /** Fails the requests that have no response after a time, whatever their deadlines. */
  void failOpenRequestsAfter(long delayNanos) {
    loop.schedule(
        () -> List.copyOf(openRequests.values()).forEach(this::failOverdue),
        delayNanos + OVERDUE_NANOS,
        TimeUnit.NANOSECONDS);
  }

  /** Fails a request that the gateway has not responded to, because each is owed a response. */
  private void failOverdue(OpenRequest request) {
    endOnError(request, () -> failIfOwed(request));
  }

  private void failIfOwed(OpenRequest request) {
    if (!request.isResponded()) {
      String attempt = request.isAttemptInFlight() ? "one in flight" : "none in flight";
      log.request(
          NodeLog.Event.OVERDUE, request.id(), request.attempts() + " attempts, " + attempt);
      fail(request);
      discard(request);
    }
  }

  /** Records that the client of an open request disconnected. */
  void clientDisconnected(OpenRequest request) {
    if (request.takeResponseSink() != null) {
      endOnError(request, () -> abandon(request));
    }
  }

  private void abandon(OpenRequest request) {
    clientDeadlines.remove(request);
    log.count(NodeLog.Event.CLIENT_DISCONNECTED);
    removeIfEnded(request);
    deliverOrEnd(request, now -> gateway.clientDisconnected(now, request.id()));
  }

  /** Notifies the gateway of an update of the endpoint list. */
  void endpointsUpdated(EndpointUpdateType type, List<Endpoint> endpoints) {
    events.deliver(now -> gateway.endpointsUpdated(now, type, endpoints));
  }

  @Override
  public void attemptEnded(CompletedAttempt attempt) {
    OpenRequest request = attempt.request();
    request.endAttempt(attempt.outcome(), clock.nowNanos() - attempt.durationNanos());
    if (attempt.outcome() == Outcome.OK) {
      endOnError(request, () -> respond(request, sink -> sink.served(attempt.body())));
    }
    AttemptResult result =
        new AttemptResult(
            request.id(),
            attempt.outcome(),
            attempt.durationNanos(),
            attempt.endpointId(),
            request.isResponded(),
            request.attempts() - 1,
            attempt.chargedUnits(),
            List.of());
    deliverOrEnd(request, now -> gateway.attemptEnded(now, result));
    removeIfEnded(request);
  }

  private void counterCallEnded(CounterResult result) {
    events.deliver(
        now ->
            gateway.counterCallEnded(now, result.counterKey(), result.outcome(), result.total()));
  }

  /** Delivers an event of a request, which ends with an error if the event throws an exception. */
  private void deliverOrEnd(OpenRequest request, LongConsumer event) {
    events.deliver(event, () -> endWithError(request));
  }

  /** Runs a step in the handling of a request, which ends with an error if the step throws one. */
  private void endOnError(OpenRequest request, Runnable step) {
    events.run(step, () -> endWithError(request));
  }

  /**
   * Ends a request in whose handling an exception was thrown: rejects it if nothing of it was sent
   * to an endpoint, and fails it otherwise.
   */
  private void endWithError(OpenRequest request) {
    discard(request);
    boolean neverSent = request.attempts() == 0;
    respond(request, sink -> sendError(sink, neverSent));
    removeIfEnded(request);
  }

  private static void sendError(ResponseSink sink, boolean neverSent) {
    if (neverSent) {
      sink.rejected(0);
    } else {
      sink.failedInternally();
    }
  }

  /** Makes the gateway stop tracking a request that the host ends itself. */
  private void discard(OpenRequest request) {
    events.deliver(now -> gateway.discard(now, request.id(), request.isAttemptInFlight()));
  }

  /** Removes a request if no response is owed any more and no attempt is in flight. */
  private void removeIfEnded(OpenRequest request) {
    if (request.isResponded()
        && !request.isAttemptInFlight()
        && openRequests.remove(request.id(), request)) {
      replayCache.recordEnded(request, requestClass(request));
      budget.change(-request.body().readableBytes());
      request.release();
    }
  }

  @Override
  public void startAttempt(String requestId, String endpointId, long timeoutNanos) {
    OpenRequest request = openRequests.get(requestId);
    if (request == null) {
      reportNotSent(requestId, endpointId, true);
      return;
    }
    events.run(
        () -> startAttempt(request, endpointId, timeoutNanos),
        () -> {
          if (!request.isAttemptInFlight()) {
            reportNotSent(requestId, endpointId, true);
          }
          endWithError(request);
        });
  }

  private void startAttempt(OpenRequest request, String endpointId, long timeoutNanos) {
    if (!request.isAttemptInFlight() && !request.readAndCheckClientWaiting()) {
      // The client has disconnected, or may have done so undetected: no attempt is started.
      fail(request);
    }
    if (request.isResponded()) {
      log.count(NodeLog.Event.ATTEMPT_SKIPPED);
      reportNotSent(request.id(), endpointId, true);
      return;
    }
    if (!mayStartAttempt(request)) {
      reportNotSent(request.id(), endpointId, false);
      return;
    }
    if (request.attempts() > 0) {
      log.count(NodeLog.Event.RETRIED);
    }
    request.startAttempt();
    // The gateway's timeout counts from the start of the event; the loop may have stalled since.
    long leftNanos = timeoutNanos - events.nanosSinceEventStarted();
    upstreamPool.send(request, endpointId, Math.max(MIN_ATTEMPT_TIMEOUT_NANOS, leftNanos));
  }

  private boolean mayStartAttempt(OpenRequest request) {
    return guard.mayStartAttempt(request, requestClass(request), clock.nowNanos());
  }

  private RequestClass requestClass(OpenRequest request) {
    return config.settings().requestClasses().get(request.clientRequest().classIndex());
  }

  /** Reports that an attempt was not started: the gateway counts it as in flight until then. */
  private void reportNotSent(String requestId, String endpointId, boolean requestComplete) {
    AttemptResult result =
        new AttemptResult(
            requestId, Outcome.NOT_SENT, 0, endpointId, requestComplete, 0, 0, List.of());
    loop.execute(() -> events.deliver(now -> gateway.attemptEnded(now, result)));
  }

  @Override
  public void reject(String requestId, long retryAfterNanos) {
    OpenRequest request = openRequests.get(requestId);
    if (request != null) {
      endOnError(request, () -> reject(request, retryAfterNanos));
    }
  }

  private void reject(OpenRequest request, long retryAfterNanos) {
    if (respond(request, sink -> sink.rejected(retryAfterNanos))) {
      log.count(NodeLog.Event.REJECTED);
      removeIfEnded(request);
    }
  }

  @Override
  public void fail(String requestId) {
    OpenRequest request = openRequests.get(requestId);
    if (request != null) {
      endOnError(request, () -> fail(request));
    }
  }

  private void fail(OpenRequest request) {
    if (respond(request, ResponseSink::failed)) {
      log.request(NodeLog.Event.FAILED, request.id(), "after " + request.attempts() + " attempts");
      removeIfEnded(request);
    }
  }

  /**
   * Sends a request's final response.
   *
   * @return false, with nothing done, if one was sent before or the client has disconnected
   */
  private boolean respond(OpenRequest request, Consumer<ResponseSink> response) {
    ResponseSink sink = request.takeResponseSink();
    if (sink == null) {
      return false;
    }
    clientDeadlines.remove(request);
    response.accept(sink);
    RequestTimeline timeline = request.timeline();
    timeline.reach(RequestTimeline.Stage.RESPONDED);
    OptionalLong admittedAt = gateway.admittedAtNanos(request.id());
    admittedAt.ifPresent(
        nanos -> timeline.reach(RequestTimeline.Stage.ADMITTED, clock.toNanoTime(nanos)));
    responseTimes.recordResponse(request.id(), timeline);
    return true;
  }

  @Override
  public void startHealthCheck(String endpointId) {
    // Not supported yet: health checks only return load reports, which nodes do not read.
  }

  @Override
  public void addToCounter(long counterKey, double amount, long timeToLiveNanos) {
    counterClient.add(counterKey, amount, timeToLiveNanos);
  }

  @Override
  public void scheduleTimer(long token, long delayNanos) {
    loop.schedule(
        () -> events.deliver(now -> gateway.timerFired(now, token)),
        delayNanos,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void subscribeToEndpoints() {
    // The discovery client opens a watch at the start, and a new one whenever a watch ends.
  }

  @Override
  public void log(String line) {
    log.writeLine(line);
  }
}
