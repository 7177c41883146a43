package merlinrouter.settings;

import java.util.Set;

/**
 * Key names and values of the settings' external format, as constants named in the terms of this
 * program. The external names are fixed by the format; {@code docs/glossary.md} lists them with the
 * corresponding terms.
 */
public final class SettingKeys {
  /** Number of this gateway, from 0. */
  public static final String GATEWAY_NUMBER = "my-number";

  /** Number of gateways in the fleet. */
  public static final String GATEWAY_COUNT = "siblings";

  /** Index of this gateway's zone. */
  public static final String ZONE = "my-zone";

  /** Minimum interval at which events are delivered. */
  public static final String EVENT_INTERVAL_NANOS = "tick-ns";

  /** Names of all zones. */
  public static final String ZONES = "failure-domains";

  /** Names of all machine types. */
  public static final String MACHINE_TYPES = "skus";

  /** How the endpoint list is obtained. */
  public static final String DISCOVERY = "discovery";

  /** Maximum time for establishing the connection of an attempt. */
  public static final String CONNECT_TIMEOUT_NANOS = "caps.connect-timeout-ns";

  /** Time after which an endpoint closes an idle connection. */
  public static final String KEEP_ALIVE_NANOS = "caps.keepalive-ns";

  /** The list of request classes. */
  public static final String REQUEST_CLASSES = "classes";

  /** The list of quota plans. */
  public static final String QUOTA_PLANS = "tariffs";

  /** Name of a request class or quota plan. */
  public static final String NAME = "name";

  /** Maximum number of attempts per request. */
  public static final String MAX_ATTEMPTS = "caps.max-attempts";

  /** Maximum number of open requests per gateway. */
  public static final String MAX_OPEN_REQUESTS = "caps.max-open";

  /** Time after which a call to the counter times out. */
  public static final String COUNTER_TIMEOUT_NANOS = "domain.count-wait-ns";

  /** How long after the deadline a final response still counts as in time. */
  public static final String RESPONSE_SLACK_NANOS = "rules.answer-slack-ns";

  /** Fraction of its capacity that an endpoint has when it starts. */
  public static final String SLOW_START_INITIAL_FRACTION = "rules.cold-from";

  /** Time from its start after which an endpoint has its full capacity. */
  public static final String SLOW_START_DURATION_NANOS = "rules.ramp-time-ns";

  /** Load that overloads an endpoint, as a multiple of its current capacity. */
  public static final String OVERLOAD_FACTOR = "rules.overload-factor";

  /** How long the load must exceed {@link #OVERLOAD_FACTOR} to overload an endpoint. */
  public static final String OVERLOAD_WINDOW_NANOS = "rules.tip-after-ns";

  /** A request class: time within which a response earns the full value. */
  public static final String LATENCY_OBJECTIVE_NANOS = "aim-ns";

  /** A request class: how long a client waits for the final response. */
  public static final String DEADLINE_NANOS = "deadline-ns";

  /** A request class: whether a request may be executed more than once. */
  public static final String IDEMPOTENCY = "idempotency";

  /** A request class: value of one request. */
  public static final String PRIORITY_WEIGHT = "worth";

  /** A quota plan: refill rate of the quota. */
  public static final String UNITS_PER_SECOND = "units-per-s";

  /** A quota plan: capacity of the quota's token bucket. */
  public static final String BURST_UNITS = "peak-units";

  /** A quota plan: factor applied to the value of a request. */
  public static final String VALUE_FACTOR = "price";

  /** A quota plan: fraction of its value that a request over quota earns. */
  public static final String OVER_QUOTA_VALUE = "beyond-earns";

  /** A quota plan: fraction of its value that forwarding a request over quota costs. */
  public static final String OVER_QUOTA_COST = "beyond-costs";

  /** Value of {@link #IDEMPOTENCY}: may be executed any number of times. */
  public static final String IDEMPOTENT = "retryable";

  /** Value of {@link #IDEMPOTENCY}: carries an idempotency key. */
  public static final String WITH_IDEMPOTENCY_KEY = "dedup";

  /** Value of {@link #IDEMPOTENCY}: must never be executed twice. */
  public static final String NON_IDEMPOTENT = "fragile";

  /** Names of the values in a load report that measure the load of an endpoint. */
  public static final Set<String> LOAD_VALUES = Set.of("waiting", "active", "cpu");

  /** Suffix of a list's key: the number of its items. */
  public static final String COUNT = ".count";

  static final String WEIGHTS = "weights";
  static final String LOAD_REPORT_NAMES = "load-info.names";
  static final String LOAD_REPORT_SOURCE = "load-info.source";
  static final String DISCOVERY_BY_SUBSCRIPTION = "subscribe";
  static final String HEALTH_CHECKS = "caps.probes";
  static final String RETRY_AFTER = "caps.retry-after";
  static final String MAX_RETRY_AFTER_NANOS = "caps.max-retry-after-ns";
  static final String COUNTER_PRESENT = "domain.has-counter";
  static final String REPORTS_ACTUAL_UNITS = "domain.trued-up";
  static final String MAX_REQUEST_UNITS = "domain.units-top";
  static final String DEDUPLICATION_SCOPE = "group";
  static final String DEDUPLICATION_WINDOW_NANOS = "key-ttl-ns";
  static final String LATE_VALUE_FRACTION = "late-value";
  static final String MAX_CONCURRENT_REQUESTS = "at-once";
  static final String HARD_LIMIT_UNITS_PER_SECOND = "hard-rate";
  static final String HARD_LIMIT_BURST_UNITS = "hard-burst";
  static final String HARD_LIMIT_OVERDRAFT_UNITS = "hard-slack";
  static final String ALL_ENDPOINTS = "all";
  static final String SAME_ZONE = "zone";

  private SettingKeys() {}
}
