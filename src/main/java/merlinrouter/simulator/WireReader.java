package merlinrouter.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinrouter.gateway.Gateway;
import merlinrouter.model.Endpoint;
import merlinrouter.settings.SettingsReader;

/**
 * Reads batches of events, passes each event to the gateway instance that it is addressed to, and
 * has a reply written for each batch. Used by one thread.
 */
final class WireReader {
  private final BufferedReader in;
  private final WireWriter out;
  private final Map<Integer, Gateway> gatewaysByInstance = new HashMap<>();
  private WireLine line = new WireLine(0, "");
  private long lineNumber;
  private long nowNanos;

  WireReader(BufferedReader in, WireWriter out) {
    this.in = in;
    this.out = out;
  }

  /** Handles batches until the input ends. */
  void run() throws IOException, MalformedInputException {
    while (readLine()) {
      if (!line.keyword().equals(WireVocabulary.BATCH_BEGIN)) {
        throw line.malformed(
            "expected '" + WireVocabulary.BATCH_BEGIN + "' at the start of a batch");
      }
      nowNanos = EventParser.batchTimeNanos(line);
      handleEvents();
      out.flush();
    }
  }

  /** Handles the events of a batch up to its end. */
  private void handleEvents() throws IOException, MalformedInputException {
    while (true) {
      if (!readLine()) {
        throw line.malformed("the input ends inside a batch after this line");
      }
      if (line.keyword().equals(WireVocabulary.BATCH_END)) {
        return;
      }
      handleEvent();
    }
  }

  /** Reads the next line; at the end of the input returns false and keeps the last line. */
  private boolean readLine() throws IOException {
    String text = in.readLine();
    if (text == null) {
      return false;
    }
    lineNumber++;
    line = new WireLine(lineNumber, text);
    return true;
  }

  private void handleEvent() throws IOException, MalformedInputException {
    int instance = EventParser.instance(line);
    switch (line.keyword()) {
      case WireVocabulary.INSTANCE_STARTED -> startInstance(instance);
      case WireVocabulary.INSTANCE_STOPPED -> gatewaysByInstance.remove(instance);
      case WireVocabulary.ENDPOINTS_UPDATED -> updateEndpoints(gateway(instance));
      case WireVocabulary.REQUEST_RECEIVED ->
          gateway(instance).requestReceived(nowNanos, EventParser.clientRequest(line));
      case WireVocabulary.ATTEMPT_ENDED ->
          gateway(instance).attemptEnded(nowNanos, EventParser.attemptResult(line));
      case WireVocabulary.CLIENT_DISCONNECTED ->
          gateway(instance).clientDisconnected(nowNanos, EventParser.requestId(line));
      case WireVocabulary.RESPONSE_STARTED ->
          gateway(instance).responseStarted(nowNanos, EventParser.requestId(line));
      case WireVocabulary.COUNTER_CALL_ENDED -> endCounterCall(gateway(instance));
      case WireVocabulary.HEALTH_CHECK_ENDED -> endHealthCheck(gateway(instance));
      case WireVocabulary.TIMER_FIRED ->
          gateway(instance).timerFired(nowNanos, EventParser.timerToken(line));
      case WireVocabulary.IGNORED_NOTE -> gateway(instance);
      default -> throw line.malformed("unknown event");
    }
  }

  private void startInstance(int instance) throws MalformedInputException {
    EventParser.InstanceStart start = EventParser.instanceStart(line);
    try {
      gatewaysByInstance.put(
          instance,
          new Gateway(
              SettingsReader.read(start.fields(), start.firstSetting()),
              start.seed(),
              nowNanos,
              out.actionsOf(instance)));
    } catch (IllegalArgumentException e) {
      throw line.malformed("invalid settings (" + e.getMessage() + ")");
    }
  }

  private void updateEndpoints(Gateway gateway) throws IOException, MalformedInputException {
    EventParser.EndpointUpdateHead head = EventParser.endpointUpdateHead(line);
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < head.endpointCount(); i++) {
      if (!readLine() || !line.keyword().equals(WireVocabulary.ENDPOINT)) {
        throw line.malformed(
            "expected '" + WireVocabulary.ENDPOINT + "' with an endpoint of the update");
      }
      endpoints.add(EventParser.endpoint(line));
    }
    gateway.endpointsUpdated(nowNanos, head.type(), endpoints);
  }

  private void endCounterCall(Gateway gateway) throws MalformedInputException {
    EventParser.CounterResult result = EventParser.counterResult(line);
    gateway.counterCallEnded(nowNanos, result.counterKey(), result.outcome(), result.totalUnits());
  }

  private void endHealthCheck(Gateway gateway) throws MalformedInputException {
    EventParser.HealthCheckResult result = EventParser.healthCheckResult(line);
    gateway.healthCheckEnded(
        nowNanos,
        result.endpointId(),
        result.outcome(),
        result.durationNanos(),
        result.loadReport());
  }

  private Gateway gateway(int instance) throws MalformedInputException {
    Gateway gateway = gatewaysByInstance.get(instance);
    if (gateway == null) {
      throw line.malformed("instance " + instance + " is not running");
    }
    return gateway;
  }
}
