package merlinrouter.node.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.InvalidSettingException;
import merlinrouter.settings.SettingKeys;
import merlinrouter.settings.SettingsReader;

/** Reads and checks the configuration of a node, which is JSON. */
public final class NodeConfigReader {
  private static final int DEFAULT_MAX_SOCKETS = 256;
  private static final long DEFAULT_MEMORY_MEBIBYTES = 64;
  private static final int MEBIBYTE_SHIFT = 20;
  private static final int SEED_RADIX = 16;

  /** Smaller values are raised to this one: a JVM cannot serve with less. */
  private static final double MIN_CORES = 0.05;

  /** Larger values are lowered to this one: the only event loop cannot use more. */
  private static final double MAX_CORES = 1;

  private static final List<String> REQUIRED_NUMBERS =
      List.of(
          SettingKeys.GATEWAY_NUMBER,
          SettingKeys.GATEWAY_COUNT,
          SettingKeys.ZONE,
          SettingKeys.EVENT_INTERVAL_NANOS,
          SettingKeys.MAX_ATTEMPTS,
          SettingKeys.MAX_OPEN_REQUESTS,
          SettingKeys.CONNECT_TIMEOUT_NANOS,
          SettingKeys.KEEP_ALIVE_NANOS,
          SettingKeys.COUNTER_TIMEOUT_NANOS,
          SettingKeys.RESPONSE_SLACK_NANOS,
          SettingKeys.SLOW_START_INITIAL_FRACTION,
          SettingKeys.SLOW_START_DURATION_NANOS,
          SettingKeys.OVERLOAD_FACTOR,
          SettingKeys.OVERLOAD_WINDOW_NANOS);

  private static final List<String> REQUIRED_CLASS_NUMBERS =
      List.of(
          SettingKeys.LATENCY_OBJECTIVE_NANOS,
          SettingKeys.DEADLINE_NANOS,
          SettingKeys.PRIORITY_WEIGHT);

  private static final List<String> REQUIRED_PLAN_NUMBERS =
      List.of(
          SettingKeys.UNITS_PER_SECOND,
          SettingKeys.BURST_UNITS,
          SettingKeys.VALUE_FACTOR,
          SettingKeys.OVER_QUOTA_VALUE,
          SettingKeys.OVER_QUOTA_COST);

  private static final List<String> IDEMPOTENCY_VALUES =
      List.of(SettingKeys.IDEMPOTENT, SettingKeys.WITH_IDEMPOTENCY_KEY, SettingKeys.NON_IDEMPOTENT);

  private final JsonNode root;

  /** The settings in the form that {@link SettingsReader} reads: nested keys are joined by dots. */
  private final Map<String, String> settings = new HashMap<>();

  private NodeConfigReader(JsonNode root) throws InvalidConfigException {
    this.root = root;
    flatten("", JsonFields.required(root, NodeConfigKeys.SETTINGS), settings);
  }

  /**
   * Reads a configuration file, without retries.
   *
   * @throws UnreadableConfigException if the file cannot be read
   * @throws InvalidConfigException if its content is invalid
   */
  static NodeConfig read(Path file) throws InvalidConfigException, UnreadableConfigException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new UnreadableConfigException(
          "the configuration file " + file + " cannot be read: " + e);
    }
    return parse(text);
  }

  /**
   * Reads a configuration.
   *
   * @throws InvalidConfigException if the text is not JSON, a key is missing or a value is invalid
   */
  public static NodeConfig parse(String text) throws InvalidConfigException {
    return new NodeConfigReader(JsonFields.parse(text, "the configuration")).read();
  }

  private NodeConfig read() throws InvalidConfigException {
    SettingNames names = names();
    checkSettings(names);
    GatewaySettings gatewaySettings;
    try {
      gatewaySettings = SettingsReader.read(settings);
    } catch (InvalidSettingException e) {
      throw new InvalidConfigException("settings." + e.getMessage());
    }
    boolean hasCounter = gatewaySettings.counter().present();
    JsonNode limits = root.path(NodeConfigKeys.LIMITS);
    return new NodeConfig(
        JsonFields.address(root, NodeConfigKeys.LISTEN),
        JsonFields.address(root, NodeConfigKeys.DISCOVERY),
        hasCounter ? JsonFields.address(root, NodeConfigKeys.COUNTER) : null,
        seed(JsonFields.required(root, NodeConfigKeys.SEED)),
        limits.path(NodeConfigKeys.MAX_SOCKETS).asInt(DEFAULT_MAX_SOCKETS),
        limits.path(NodeConfigKeys.MEMORY_MEBIBYTES).asLong(DEFAULT_MEMORY_MEBIBYTES)
            << MEBIBYTE_SHIFT,
        cores(limits.path(NodeConfigKeys.CORES)),
        knownEndpoints(names),
        (long) number(SettingKeys.CONNECT_TIMEOUT_NANOS),
        (long) number(SettingKeys.KEEP_ALIVE_NANOS),
        names,
        gatewaySettings);
  }

  private SettingNames names() throws InvalidConfigException {
    JsonNode node = root.path(NodeConfigKeys.SETTINGS);
    return new SettingNames(
        namesOf(node, SettingKeys.REQUEST_CLASSES),
        namesOf(node, SettingKeys.QUOTA_PLANS),
        textsOf(node, SettingKeys.ZONES),
        textsOf(node, SettingKeys.MACHINE_TYPES));
  }

  private void checkSettings(SettingNames names) throws InvalidConfigException {
    List<String> required = new ArrayList<>(REQUIRED_NUMBERS);
    for (int i = 0; i < names.classes().size(); i++) {
      String prefix = SettingKeys.REQUEST_CLASSES + "." + i + ".";
      addAll(required, prefix, REQUIRED_CLASS_NUMBERS);
      checkIdempotency(prefix + SettingKeys.IDEMPOTENCY);
    }
    for (int i = 0; i < names.plans().size(); i++) {
      addAll(required, SettingKeys.QUOTA_PLANS + "." + i + ".", REQUIRED_PLAN_NUMBERS);
    }
    for (String key : required) {
      if (!settings.containsKey(key)) {
        throw new InvalidConfigException("settings." + key + " is missing");
      }
      number(key);
    }
  }

  private static void addAll(List<String> keys, String prefix, List<String> names) {
    for (String name : names) {
      keys.add(prefix + name);
    }
  }

  private void checkIdempotency(String key) throws InvalidConfigException {
    if (!IDEMPOTENCY_VALUES.contains(settings.getOrDefault(key, ""))) {
      throw new InvalidConfigException(
          "settings."
              + key
              + " is not one of "
              + String.join(", ", IDEMPOTENCY_VALUES)
              + ": '"
              + settings.getOrDefault(key, "")
              + "'");
    }
  }

  private double number(String key) throws InvalidConfigException {
    try {
      double value = Double.parseDouble(settings.get(key));
      if (Double.isFinite(value) && value >= 0) {
        return value;
      }
    } catch (NumberFormatException expected) {
      // Reported below, as for a number out of range.
    }
    throw new InvalidConfigException(
        "settings." + key + " is not a number of at least 0: " + settings.get(key));
  }

  private EndpointList knownEndpoints(SettingNames names) throws InvalidConfigException {
    return root.hasNonNull(NodeConfigKeys.KNOWN_ENDPOINTS)
        ? EndpointListReader.read(root.get(NodeConfigKeys.KNOWN_ENDPOINTS), names)
        : new EndpointList(0, true, List.of());
  }

  private static double cores(JsonNode node) {
    return Math.max(MIN_CORES, Math.min(MAX_CORES, node.asDouble(MAX_CORES)));
  }

  private static long seed(JsonNode node) throws InvalidConfigException {
    try {
      return node.isTextual() ? Long.parseUnsignedLong(node.asText(), SEED_RADIX) : node.asLong();
    } catch (NumberFormatException e) {
      throw new InvalidConfigException(
          NodeConfigKeys.SEED + " is not a hexadecimal number of up to 64 bits: " + node.asText());
    }
  }

  /** Adds each value in {@code node} under its full key; see {@link SettingsReader} for lists. */
  private static void flatten(String key, JsonNode node, Map<String, String> into) {
    if (node.isObject()) {
      for (Map.Entry<String, JsonNode> field : node.properties()) {
        String name = field.getKey();
        flatten(key.isEmpty() ? name : key + "." + name, field.getValue(), into);
      }
    } else if (node.isArray()) {
      flattenArray(key, node, into);
    } else if (!node.isNull()) {
      into.put(key, node.asText());
    }
  }

  private static void flattenArray(String key, JsonNode array, Map<String, String> into) {
    into.put(key + SettingKeys.COUNT, Integer.toString(array.size()));
    List<String> plainValues = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      if (array.get(i).isValueNode()) {
        plainValues.add(array.get(i).asText());
      } else {
        flatten(key + "." + i, array.get(i), into);
      }
    }
    into.put(key, String.join(",", plainValues));
  }

  private static List<String> namesOf(JsonNode node, String list) throws InvalidConfigException {
    List<String> names = new ArrayList<>();
    for (JsonNode item : JsonFields.required(node, list)) {
      names.add(JsonFields.required(item, SettingKeys.NAME).asText());
    }
    if (names.isEmpty()) {
      throw new InvalidConfigException("settings." + list + " is empty");
    }
    return List.copyOf(names);
  }

  private static List<String> textsOf(JsonNode node, String list) {
    List<String> texts = new ArrayList<>();
    node.path(list).forEach(item -> texts.add(item.asText()));
    return List.copyOf(texts);
  }
}
