package merlinrouter.node.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;

/** Reads JSON text and the fields that both the file and the endpoint list need. */
final class JsonFields {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private JsonFields() {}

  /**
   * Reads a text.
   *
   * @param text the JSON text
   * @param source what it is, for the message
   * @throws InvalidConfigException if it is not JSON
   */
  static JsonNode parse(String text, String source) throws InvalidConfigException {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigException(
          source + " is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
    }
  }

  /** Returns the value of a key; fails where the key is missing or its value is null. */
  static JsonNode required(JsonNode node, String key) throws InvalidConfigException {
    if (!node.hasNonNull(key)) {
      throw new InvalidConfigException(key + " is missing");
    }
    return node.get(key);
  }

  /** Returns the address that a key has as {@code host:port}. */
  static InetSocketAddress address(JsonNode node, String key) throws InvalidConfigException {
    String text = required(node, key).asText();
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (IllegalArgumentException expected) {
      // Reported below, as for a text without a colon.
    }
    throw new InvalidConfigException(key + " is not host:port: " + text);
  }
}
