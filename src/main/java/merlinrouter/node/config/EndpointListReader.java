package merlinrouter.node.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;

/** Reads endpoint lists, which are JSON. */
final class EndpointListReader {
  private EndpointListReader() {}

  static EndpointList read(JsonNode node, SettingNames names) throws InvalidConfigException {
    if (!JsonFields.required(node, EndpointListKeys.ENTRIES).isArray()) {
      throw new InvalidConfigException(
          "the endpoint list is invalid: " + EndpointListKeys.ENTRIES + " is not an array");
    }
    List<EndpointEntry> entries = new ArrayList<>();
    for (JsonNode entry : node.get(EndpointListKeys.ENTRIES)) {
      entries.add(entry(entry, names));
    }
    return list(node, entries);
  }

  /**
   * Creates the list with the given entries.
   *
   * @param node an object with the other fields of the list
   * @param entries the entries
   * @throws InvalidConfigException if the revision is missing or invalid
   */
  static EndpointList list(JsonNode node, List<EndpointEntry> entries)
      throws InvalidConfigException {
    if (!JsonFields.required(node, EndpointListKeys.REVISION).isIntegralNumber()) {
      throw new InvalidConfigException(
          "the endpoint list is invalid: " + EndpointListKeys.REVISION + " is not an integer");
    }
    return new EndpointList(
        node.get(EndpointListKeys.REVISION).asLong(),
        node.path(EndpointListKeys.COMPLETE).asBoolean(false),
        entries);
  }

  static EndpointEntry entry(JsonNode node, SettingNames names) throws InvalidConfigException {
    String id = JsonFields.required(node, EndpointListKeys.ID).asText();
    EndpointState state = state(JsonFields.required(node, EndpointListKeys.STATE).asText());
    // Wall-clock time; EndpointStartTimes converts it to the monotonic clock.
    long startedAtMillis = Math.max(0, node.path(EndpointListKeys.STARTED_AT_MILLIS).asLong(0));
    Endpoint endpoint =
        new Endpoint(
            id,
            node.path(EndpointListKeys.WEIGHT).asDouble(1),
            names.zones().indexOf(node.path(EndpointListKeys.ZONE).asText()),
            node.path(EndpointListKeys.CELL).asInt(0),
            names.machineTypes().indexOf(node.path(EndpointListKeys.MACHINE_TYPE).asText()),
            state,
            TimeUnit.MILLISECONDS.toNanos(startedAtMillis));
    return new EndpointEntry(endpoint, JsonFields.address(node, EndpointListKeys.ADDRESS));
  }

  private static EndpointState state(String text) {
    return switch (text) {
      case EndpointListKeys.READY -> EndpointState.READY;
      case EndpointListKeys.REMOVED -> EndpointState.REMOVED;
      // Also for an unknown state: no new requests are sent, those in flight may be completed.
      default -> EndpointState.DRAINING;
    };
  }
}
