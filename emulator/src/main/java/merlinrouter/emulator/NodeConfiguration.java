package merlinrouter.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;

/** Writes a node's configuration file from the template {@code node.json}. */
final class NodeConfiguration {
  private static final ObjectMapper JSON = new ObjectMapper();

  private NodeConfiguration() {}

  /** The configuration of node {@code number} out of {@code siblings}. */
  static String of(
      int number,
      int siblings,
      int port,
      LoopbackServer discovery,
      LoopbackServer counter,
      String known)
      throws IOException {
    try (InputStream template = NodeConfiguration.class.getResourceAsStream("/node.json")) {
      ObjectNode root = (ObjectNode) JSON.readTree(template);
      root.put("name", "n" + number)
          .put("listen", "127.0.0.1:" + port)
          .put("discovery", discovery.address())
          .put("counter", counter.address())
          .put("seed", String.format("%016x", 0x9e3779b97f4a7c15L * (number + 1)));
      root.set("known", JSON.readTree(known));
      ((ObjectNode) root.get("settings")).put("my-number", number).put("siblings", siblings);
      return root.toString();
    }
  }
}
