package merlinrouter.node.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;

/** Parses JSON text and reads fields of the configuration file and of endpoint lists. */
final class JsonFields {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private JsonFields() {}

  /**
   * Parses JSON text.
   *
   * @param text the JSON text
   * @param source what the text is, for the error message
   * @throws InvalidConfigException if the text is not JSON
   */
  static JsonNode parse(String text, String source) throws InvalidConfigException {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigException(
          source + " is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
    }
  }

  /** Returns the value of a key, which must be present and not null. */
  static JsonNode required(JsonNode node, String key) throws InvalidConfigException {
    if (!node.hasNonNull(key)) {
      throw new InvalidConfigException(key + " is missing");
    }
    return node.get(key);
  }

  /** Returns the address that the value of a key gives as {@code host:port}. */
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
