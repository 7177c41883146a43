package merlinrouter.node.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;

/** Builds JSON values from tokens that arrive one after another. Not thread-safe. */
final class JsonValueBuilder {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  /** An object or array that is not whole yet. */
  private static final class OpenContainer {
    private final ContainerNode<?> node;
    private String fieldName;

    OpenContainer(ContainerNode<?> node) {
      this.node = node;
    }

    void add(JsonNode value) {
      if (node instanceof ObjectNode object) {
        object.set(fieldName, value);
      } else {
        ((ArrayNode) node).add(value);
      }
    }
  }

  /** The containers around the next token, the innermost first. */
  private final ArrayDeque<OpenContainer> containers = new ArrayDeque<>();

  /** Returns whether a value has started and is not whole yet. */
  boolean isInValue() {
    return !containers.isEmpty();
  }

  /**
   * Adds the parser's current token.
   *
   * @return the value that is whole with this token; null if there is none
   */
  JsonNode add(JsonParser parser, JsonToken token) throws IOException {
    return switch (token) {
      case START_OBJECT -> open(NODES.objectNode());
      case START_ARRAY -> open(NODES.arrayNode());
      case FIELD_NAME -> {
        containers.peek().fieldName = parser.currentName();
        yield null;
      }
      case END_OBJECT, END_ARRAY -> addToContainer(containers.pop().node);
      default -> addToContainer(scalar(parser, token));
    };
  }

  private JsonNode open(ContainerNode<?> container) {
    containers.push(new OpenContainer(container));
    return null;
  }

  private JsonNode addToContainer(JsonNode value) {
    if (containers.isEmpty()) {
      return value;
    }
    containers.peek().add(value);
    return null;
  }

  private static JsonNode scalar(JsonParser parser, JsonToken token) throws IOException {
    return switch (token) {
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(token == JsonToken.VALUE_TRUE);
      default -> NODES.nullNode();
    };
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        ? NODES.numberNode(parser.getBigIntegerValue())
        : NODES.numberNode(parser.getLongValue());
  }
}
