package merlinrouter.emulator.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.time.Duration;

/** The template {@code node.json}, from which the configuration files of all nodes are made. */
public final class NodeTemplate {
  private static final String RESOURCE = "/node.json";
  private static final ObjectNode ROOT = read();

  private NodeTemplate() {}

  private static ObjectNode read() {
    try (InputStream template = NodeTemplate.class.getResourceAsStream(RESOURCE)) {
      return (ObjectNode) new ObjectMapper().readTree(template);
    } catch (IOException e) {
      throw new UncheckedIOException("the template " + RESOURCE + " cannot be read", e);
    }
  }

  /** Returns a copy of the template, which the caller may change. */
  static ObjectNode copy() {
    return ROOT.deepCopy();
  }

  /** Returns how many file descriptors a node may use. */
  public static int maxSockets() {
    return ROOT.path("limits").path("sockets").intValue();
  }

  /** Returns the longest deadline of the request classes. */
  public static Duration longestDeadline() {
    long longestNanos = 0;
    for (JsonNode requestClass : ROOT.path("settings").path("classes")) {
      longestNanos = Math.max(longestNanos, requestClass.path("deadline-ns").longValue());
    }
    return Duration.ofNanos(longestNanos);
  }
}
