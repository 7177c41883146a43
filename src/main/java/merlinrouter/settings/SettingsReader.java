package merlinrouter.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import merlinrouter.model.DeduplicationScope;
import merlinrouter.model.Idempotency;

/**
 * Converts key-value pairs to {@link GatewaySettings}; unknown keys are ignored. Both the
 * simulator's adapter and the edge node use this class, so that they interpret keys identically.
 */
public final class SettingsReader {
  private static final String OFF = "off";
  private static final String ABSENT = "-";

  private final Map<String, String> values;

  private SettingsReader(Map<String, String> values) {
    this.values = values;
  }

  /**
   * Reads settings from the words of a line.
   *
   * @param words words of the form {@code key=value}
   * @param from index of the first word to read
   * @throws InvalidSettingException if a word is not a key-value pair or a value is not a number
   *     where one is required
   */
  public static GatewaySettings read(String[] words, int from) {
    Map<String, String> values = new HashMap<>();
    for (int i = from; i < words.length; i++) {
      int equals = words[i].indexOf('=');
      if (equals < 1) {
        throw new InvalidSettingException("'" + words[i] + "' is not of the form key=value");
      }
      values.put(words[i].substring(0, equals), words[i].substring(equals + 1));
    }
    return read(values);
  }

  /**
   * Reads settings. A list of objects has its length under {@code <list>.count} and the keys of its
   * items under {@code <list>.<index>.}; a list of plain values is one value, separated by commas.
   *
   * @throws InvalidSettingException if a value is not a number where one is required
   */
  public static GatewaySettings read(Map<String, String> values) {
    return new SettingsReader(values).settings();
  }

  private GatewaySettings settings() {
    return new GatewaySettings(
        (int) integer(SettingKeys.GATEWAY_NUMBER),
        (int) Math.max(1, integer(SettingKeys.GATEWAY_COUNT)),
        (int) integer(SettingKeys.ZONE),
        integer(SettingKeys.EVENT_INTERVAL_NANOS),
        !text(SettingKeys.WEIGHTS).equals(OFF),
        loadReportNames(),
        list(SettingKeys.REQUEST_CLASSES, this::requestClass),
        list(SettingKeys.QUOTA_PLANS, this::quotaPlan),
        limits(),
        counter(),
        rules());
  }

  private List<String> loadReportNames() {
    String names = text(SettingKeys.LOAD_REPORT_NAMES);
    boolean none = names.isEmpty() || names.equals(ABSENT);
    if (none || text(SettingKeys.LOAD_REPORT_SOURCE).equals(OFF)) {
      return List.of();
    }
    return List.of(names.split(","));
  }

  /** Reads a list of objects; {@code itemReader} reads an item, given the prefix of its keys. */
  private <T> List<T> list(String key, Function<String, T> itemReader) {
    List<T> items = new ArrayList<>();
    long count = integer(key + SettingKeys.COUNT);
    for (int i = 0; i < count; i++) {
      items.add(itemReader.apply(key + "." + i + "."));
    }
    return List.copyOf(items);
  }

  private RequestClass requestClass(String prefix) {
    return new RequestClass(
        integer(prefix + SettingKeys.LATENCY_OBJECTIVE_NANOS),
        integer(prefix + SettingKeys.DEADLINE_NANOS),
        idempotency(text(prefix + SettingKeys.IDEMPOTENCY)),
        deduplicationScope(text(prefix + SettingKeys.DEDUPLICATION_SCOPE)),
        integer(prefix + SettingKeys.DEDUPLICATION_WINDOW_NANOS),
        number(prefix + SettingKeys.LATE_VALUE_FRACTION),
        number(prefix + SettingKeys.PRIORITY_WEIGHT));
  }

  private static Idempotency idempotency(String value) {
    return switch (value) {
      case SettingKeys.IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case SettingKeys.WITH_IDEMPOTENCY_KEY -> Idempotency.IDEMPOTENCY_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  private static DeduplicationScope deduplicationScope(String value) {
    return switch (value) {
      case SettingKeys.ALL_ENDPOINTS -> DeduplicationScope.ALL_ENDPOINTS;
      case SettingKeys.SAME_ZONE -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.CELL;
    };
  }

  private QuotaPlan quotaPlan(String prefix) {
    return new QuotaPlan(
        number(prefix + SettingKeys.UNITS_PER_SECOND),
        number(prefix + SettingKeys.BURST_UNITS),
        (int) integer(prefix + SettingKeys.MAX_CONCURRENT_REQUESTS),
        number(prefix + SettingKeys.VALUE_FACTOR),
        number(prefix + SettingKeys.OVER_QUOTA_VALUE),
        number(prefix + SettingKeys.OVER_QUOTA_COST),
        number(prefix + SettingKeys.HARD_LIMIT_UNITS_PER_SECOND),
        number(prefix + SettingKeys.HARD_LIMIT_BURST_UNITS),
        number(prefix + SettingKeys.HARD_LIMIT_OVERDRAFT_UNITS));
  }

  private RequestLimits limits() {
    return new RequestLimits(
        (int) integer(SettingKeys.MAX_ATTEMPTS),
        (int) integer(SettingKeys.MAX_OPEN_REQUESTS),
        flag(SettingKeys.HEALTH_CHECKS),
        flag(SettingKeys.RETRY_AFTER),
        integer(SettingKeys.MAX_RETRY_AFTER_NANOS),
        text(SettingKeys.DISCOVERY).equals(SettingKeys.DISCOVERY_BY_SUBSCRIPTION),
        integer(SettingKeys.CONNECT_TIMEOUT_NANOS));
  }

  private CounterSettings counter() {
    return new CounterSettings(
        flag(SettingKeys.COUNTER_PRESENT),
        integer(SettingKeys.COUNTER_TIMEOUT_NANOS),
        flag(SettingKeys.REPORTS_ACTUAL_UNITS),
        number(SettingKeys.MAX_REQUEST_UNITS));
  }

  private ServiceRules rules() {
    return new ServiceRules(
        integer(SettingKeys.RESPONSE_SLACK_NANOS),
        number(SettingKeys.SLOW_START_INITIAL_FRACTION),
        integer(SettingKeys.SLOW_START_DURATION_NANOS),
        number(SettingKeys.OVERLOAD_FACTOR),
        integer(SettingKeys.OVERLOAD_WINDOW_NANOS));
  }

  private String text(String key) {
    return values.getOrDefault(key, "");
  }

  private boolean flag(String key) {
    return text(key).equals("true") || text(key).equals("1");
  }

  private long integer(String key) {
    return Math.round(number(key));
  }

  private double number(String key) {
    String value = text(key);
    if (value.isEmpty() || value.equals(ABSENT)) {
      return 0;
    }
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new InvalidSettingException(key + " is not a number: " + value);
    }
  }
}
