package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages whose bodies have a length or none. */
final class Http {
  private Http() {}

  /** A message: its first line, its headers with names in lower case, its body. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Reads a message; null if the connection ends in an orderly way before or within it. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    String line = line(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      line = line(in);
    }
    if (line == null) {
      return null;
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    return body.length < length ? null : new Message(first, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        bytes.write(next);
      }
      next = in.read();
    }
    return next < 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1);
  }
}
