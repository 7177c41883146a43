package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.NodeConfigReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Configurations with which a node cannot start. */
@Timeout(120)
class InvalidConfigTest extends NodeFixture {
  @Test
  void invalidConfigurationNamesItsKey() throws Exception {
    String valid = configJson();
    Map<String, String> messageByConfig =
        new TreeMap<>(
            Map.of(
                valid.replace("\"listen\"", "\"listenx\""),
                "listen is missing",
                valid.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
                "listen is not host:port",
                valid.replace("\"my-number\": 0", "\"my-number\": \"x\""),
                "settings.my-number is not a number",
                valid.replace("\"aim-ns\"", "\"aim\""),
                "settings.classes.0.aim-ns is missing",
                valid.replace("\"tariffs\"", "\"plans\""),
                "tariffs is missing",
                "{",
                "the configuration is not JSON"));
    for (Map.Entry<String, String> entry : messageByConfig.entrySet()) {
      String message =
          assertThrows(InvalidConfigException.class, () -> NodeConfigReader.parse(entry.getKey()))
              .getMessage();
      assertTrue(message.startsWith(entry.getValue()), message);
      assertFalse(message.contains("\n"), message);
    }
  }
}
