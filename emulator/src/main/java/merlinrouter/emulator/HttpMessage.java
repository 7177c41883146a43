package merlinrouter.emulator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP/1.1 message with a length, as the emulator's peers read it from a blocking stream.
 *
 * @param startLine the request line or the status line
 * @param headers values by lower-case name; the last value of a repeated header counts
 * @param body the body's bytes as Latin-1 text
 */
record HttpMessage(String startLine, Map<String, String> headers, String body) {
  /** Reads one message; null where the stream ends before its first byte. */
  static HttpMessage read(InputStream in) throws IOException {
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      if (colon < 1) {
        throw new IOException("a header without a colon: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("the stream ended within a body");
    }
    return new HttpMessage(startLine, headers, new String(body, StandardCharsets.ISO_8859_1));
  }

  /** The status code of a response. */
  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  /** The path of a request with its query. */
  String path() {
    return startLine.split(" ")[1];
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new IOException("the stream ended within a line");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }
}
