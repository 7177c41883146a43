package merlinrouter.simulator;

import java.util.List;
import java.util.Map;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;

/** Reads the fields of event lines; each method reads one type of line. */
final class EventParser {
  /** Field 1 of every event. */
  private static final int INSTANCE = 1;

  private EventParser() {}

  /** Reads the number of the gateway instance that an event is addressed to. */
  static int instance(WireLine line) throws MalformedInputException {
    return line.intValue(INSTANCE);
  }

  /** Fields of {@link WireVocabulary#BATCH_BEGIN}. */
  private static final class BatchFields {
    static final int NOW_NANOS = 1;
  }

  /** Reads the time of a batch. */
  static long batchTimeNanos(WireLine line) throws MalformedInputException {
    return line.longValue(BatchFields.NOW_NANOS);
  }

  /** Fields of {@link WireVocabulary#INSTANCE_STARTED}. */
  private static final class StartFields {
    static final int SEED = 2;
    static final int FIRST_SETTING = 3;
  }

  /**
   * The start of a gateway instance.
   *
   * @param seed seeds the instance's random numbers
   * @param fields the line's fields
   * @param firstSetting index of the first field that holds a setting of the form {@code key=value}
   */
  record InstanceStart(long seed, String[] fields, int firstSetting) {}

  /** Reads the start of a gateway instance. */
  static InstanceStart instanceStart(WireLine line) throws MalformedInputException {
    return new InstanceStart(
        line.longValue(StartFields.SEED), line.fields(), StartFields.FIRST_SETTING);
  }

  /** Fields of {@link WireVocabulary#ENDPOINTS_UPDATED}. */
  private static final class UpdateFields {
    static final int TYPE = 3;
    static final int ENDPOINT_COUNT = 4;
  }

  /**
   * The head of an endpoint update.
   *
   * @param type the type of the update
   * @param endpointCount the number of endpoint lines that follow
   */
  record EndpointUpdateHead(EndpointUpdateType type, int endpointCount) {}

  /** Reads the head of an endpoint update. */
  static EndpointUpdateHead endpointUpdateHead(WireLine line) throws MalformedInputException {
    return new EndpointUpdateHead(
        decode(
            line,
            line.intValue(UpdateFields.TYPE),
            WireVocabulary.UPDATE_TYPES,
            "endpoint update type"),
        line.intValue(UpdateFields.ENDPOINT_COUNT));
  }

  /** Fields of {@link WireVocabulary#ENDPOINT}. */
  private static final class EndpointFields {
    static final int WEIGHT = 1;
    static final int ZONE = 2;
    static final int STATE = 3;
    static final int STARTED_AT_NANOS = 4;
    static final int CELL = 5;
    static final int ID = 6;
    static final int MACHINE_TYPE = 7;
  }

  /** Reads an endpoint of an update. */
  static Endpoint endpoint(WireLine line) throws MalformedInputException {
    var state =
        decode(
            line,
            line.intValue(EndpointFields.STATE),
            WireVocabulary.ENDPOINT_STATES,
            "endpoint state");
    return new Endpoint(
        line.string(EndpointFields.ID),
        line.doubleValue(EndpointFields.WEIGHT),
        line.intValue(EndpointFields.ZONE),
        line.intValue(EndpointFields.CELL),
        line.intValue(EndpointFields.MACHINE_TYPE),
        state,
        line.longValue(EndpointFields.STARTED_AT_NANOS));
  }

  /** Fields of {@link WireVocabulary#REQUEST_RECEIVED}. */
  private static final class RequestFields {
    static final int ID = 2;
    static final int CLASS_INDEX = 3;
    static final int PLAN_INDEX = 4;
    static final int CUSTOMER = 5;
    static final int DEADLINE_NANOS = 6;
    static final int UNITS = 7;
    static final int GATEWAY_SPREAD = 8;
    static final int FIRST_GATEWAY = 9;
    static final int FLAGS = 10;
  }

  /** Reads a request that a gateway received. */
  static ClientRequest clientRequest(WireLine line) throws MalformedInputException {
    return new ClientRequest(
        line.string(RequestFields.ID),
        line.intValue(RequestFields.CLASS_INDEX),
        line.intValue(RequestFields.PLAN_INDEX),
        line.longValue(RequestFields.CUSTOMER),
        line.longValue(RequestFields.DEADLINE_NANOS),
        line.doubleValue(RequestFields.UNITS),
        line.intValue(RequestFields.GATEWAY_SPREAD),
        line.intValue(RequestFields.FIRST_GATEWAY),
        (line.longValue(RequestFields.FLAGS) & WireVocabulary.REQUEST_FLAG_RETRY) != 0);
  }

  /** Fields of {@link WireVocabulary#ATTEMPT_ENDED}; field 8 is not used. */
  private static final class AttemptFields {
    static final int REQUEST_ID = 2;
    static final int OUTCOME = 3;
    static final int DURATION_NANOS = 4;
    static final int ENDPOINT_ID = 5;
    static final int REQUEST_COMPLETE = 6;
    static final int ATTEMPT = 7;
    static final int ACTUAL_UNITS = 9;
    static final int LOAD_REPORT = 10;
  }

  /** Reads the end of an attempt. */
  static AttemptResult attemptResult(WireLine line) throws MalformedInputException {
    return new AttemptResult(
        line.string(AttemptFields.REQUEST_ID),
        outcome(line, AttemptFields.OUTCOME),
        line.longValue(AttemptFields.DURATION_NANOS),
        line.string(AttemptFields.ENDPOINT_ID),
        line.longValue(AttemptFields.REQUEST_COMPLETE) != 0,
        line.intValue(AttemptFields.ATTEMPT),
        line.doubleValue(AttemptFields.ACTUAL_UNITS),
        line.doubleValues(AttemptFields.LOAD_REPORT));
  }

  /**
   * Field of {@link WireVocabulary#CLIENT_DISCONNECTED} and {@link
   * WireVocabulary#RESPONSE_STARTED}.
   */
  private static final int REQUEST_ID = 2;

  /** Reads the id of a request whose client disconnected or whose response started. */
  static String requestId(WireLine line) throws MalformedInputException {
    return line.string(REQUEST_ID);
  }

  /** Fields of {@link WireVocabulary#COUNTER_CALL_ENDED}. */
  private static final class CounterFields {
    static final int TOTAL_UNITS = 2;
    static final int OUTCOME = 3;
    static final int COUNTER_KEY = 4;
  }

  /**
   * The end of a counter call.
   *
   * @param counterKey the key of the counter
   * @param outcome how the call ended
   * @param totalUnits the counter's value after the call
   */
  record CounterResult(long counterKey, Outcome outcome, double totalUnits) {}

  /** Reads the end of a counter call. */
  static CounterResult counterResult(WireLine line) throws MalformedInputException {
    return new CounterResult(
        line.longValue(CounterFields.COUNTER_KEY),
        outcome(line, CounterFields.OUTCOME),
        line.doubleValue(CounterFields.TOTAL_UNITS));
  }

  /** Fields of {@link WireVocabulary#HEALTH_CHECK_ENDED}. */
  private static final class HealthCheckFields {
    static final int DURATION_NANOS = 2;
    static final int OUTCOME = 3;
    static final int ENDPOINT_ID = 4;
    static final int LOAD_REPORT = 5;
  }

  /**
   * The end of a health check.
   *
   * @param endpointId the endpoint that was checked
   * @param outcome how the check ended
   * @param durationNanos time since the check was started
   * @param loadReport the endpoint's load report; empty if the endpoint sent none
   */
  record HealthCheckResult(
      String endpointId, Outcome outcome, long durationNanos, List<Double> loadReport) {}

  /** Reads the end of a health check. */
  static HealthCheckResult healthCheckResult(WireLine line) throws MalformedInputException {
    return new HealthCheckResult(
        line.string(HealthCheckFields.ENDPOINT_ID),
        outcome(line, HealthCheckFields.OUTCOME),
        line.longValue(HealthCheckFields.DURATION_NANOS),
        line.doubleValues(HealthCheckFields.LOAD_REPORT));
  }

  /** Field of {@link WireVocabulary#TIMER_FIRED}. */
  private static final int TIMER_TOKEN = 2;

  /** Reads the token of a timer that fired. */
  static long timerToken(WireLine line) throws MalformedInputException {
    return line.longValue(TIMER_TOKEN);
  }

  private static Outcome outcome(WireLine line, int position) throws MalformedInputException {
    return decode(line, line.string(position), WireVocabulary.OUTCOMES, "outcome");
  }

  private static <C, V> V decode(WireLine line, C code, Map<C, V> values, String codeType)
      throws MalformedInputException {
    V value = values.get(code);
    if (value == null) {
      throw line.malformed("unknown " + codeType);
    }
    return value;
  }
}
