package merlinrouter.simulator;

import java.util.Map;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;

/** The keywords and codes of the simulator's protocol, mapped to the gateway's terms. */
final class WireVocabulary {
  /** Separates the fields of a line; the first field is the keyword. */
  static final String FIELD_SEPARATOR = " ";

  /** Separates the values of a field that holds several. */
  static final String LIST_SEPARATOR = ",";

  /** Placeholder for an absent value, which is read as 0 or as an empty list. */
  static final String ABSENT = "-";

  // Framing of batches.

  /** Begins a batch and specifies its time. */
  static final String BATCH_BEGIN = "mark";

  /** Ends a batch; the adapter then writes its reply. */
  static final String BATCH_END = "commit";

  /** Ends the reply to a batch. */
  static final String REPLY_END = "yield";

  // Events, from the simulator.

  /** Starts a gateway instance with a seed and its settings. */
  static final String INSTANCE_STARTED = "start";

  /** Ends a gateway instance. */
  static final String INSTANCE_STOPPED = "retire";

  /** An update of the endpoint list; its endpoints follow, one per line. */
  static final String ENDPOINTS_UPDATED = "view";

  /** An endpoint of the preceding update. */
  static final String ENDPOINT = "entry";

  /** A request arrived. */
  static final String REQUEST_RECEIVED = "ingress";

  /** An attempt ended. */
  static final String ATTEMPT_ENDED = "resolved";

  /** A client disconnected. */
  static final String CLIENT_DISCONNECTED = "client_gone";

  /** The response to a request has started. */
  static final String RESPONSE_STARTED = "under_way";

  /** A call to the quota counter ended. */
  static final String COUNTER_CALL_ENDED = "count_result";

  /** A health check ended. */
  static final String HEALTH_CHECK_ENDED = "probed";

  /** A timer fired. */
  static final String TIMER_FIRED = "reminder";

  /** A note by the simulator; the adapter ignores its text. */
  static final String IGNORED_NOTE = "memo";

  // Actions, to the simulator.

  /** Starts an attempt. */
  static final String START_ATTEMPT = "try";

  /** Rejects a request. */
  static final String REJECT = "decline";

  /** Fails a request. */
  static final String FAIL = "surrender";

  /** Starts a health check. */
  static final String START_HEALTH_CHECK = "inspect";

  /** Adds units to a counter of the quota service. */
  static final String ADD_TO_COUNTER = "enter";

  /** Schedules a timer. */
  static final String SCHEDULE_TIMER = "after";

  /** Subscribes to the endpoint list, or cancels the subscription. */
  static final String SUBSCRIBE = "subscribe";

  /** Value of the field of {@link #SUBSCRIBE} that requests a subscription. */
  static final int SUBSCRIBE_ON = 1;

  /** Writes a log line for operators. */
  static final String LOG = "record";

  // Codes within events.

  /** Outcomes of attempts, health checks and counter calls. */
  static final Map<String, Outcome> OUTCOMES =
      Map.of(
          "S", Outcome.OK,
          "E", Outcome.ERROR,
          "F", Outcome.REJECTED,
          "T", Outcome.TIMEOUT,
          "C", Outcome.CONNECT_FAILED,
          "R", Outcome.RESET,
          "X", Outcome.CANCELLED,
          "N", Outcome.NOT_SENT);

  /** Types of updates of the endpoint list. */
  static final Map<Integer, EndpointUpdateType> UPDATE_TYPES =
      Map.of(
          0, EndpointUpdateType.FULL,
          1, EndpointUpdateType.CACHED,
          2, EndpointUpdateType.DELTA,
          3, EndpointUpdateType.FAILED);

  /** States of endpoints. */
  static final Map<Integer, EndpointState> ENDPOINT_STATES =
      Map.of(0, EndpointState.REMOVED, 1, EndpointState.READY, 2, EndpointState.DRAINING);

  /** Flag of a request that its client marked as a retry. */
  static final long REQUEST_FLAG_RETRY = 2;

  private WireVocabulary() {}
}
