import java.util.List;
import java.util.Locale;

/** Builds the few JSON texts that the stand-ins need. */
final class Json {
  private Json() {}

  /** One entry of the list of match servers, in discovery's form. */
  static String entry(String id, String hostPort, String phase, long upSinceMs) {
    return String.format(
        Locale.ROOT,
        "{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"cleveland-dc\",\"flavor\":\"std-2core\","
            + "\"cell\":1,\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%d}",
        id, hostPort, phase, upSinceMs);
  }

  /** A list, or a change of it. */
  static String list(long revision, boolean complete, List<String> entries) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + String.join(",", entries)
        + "]}";
  }
}
