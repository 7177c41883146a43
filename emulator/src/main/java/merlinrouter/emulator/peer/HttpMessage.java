package merlinrouter.emulator.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP/1.1 message with a content length, read from and written to blocking streams.
 *
 * @param startLine the request line or the status line
 * @param headers values by lower-case name; of a repeated header, the last value
 * @param body the body's bytes as Latin-1 text
 */
public record HttpMessage(String startLine, Map<String, String> headers, String body) {
  /** Status code and reason phrase of a successful response. */
  static final String STATUS_OK = "200 OK";

  /**
   * Reads one message. Returns null if the stream ends before the first byte.
   *
   * @throws IOException if the stream fails, ends within a line or the body, or a header is
   *     malformed
   */
  public static HttpMessage read(InputStream in) throws IOException {
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      if (colon < 1) {
        throw new IOException("header line has no colon: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException(
          "stream ended within a body: received " + body.length + " of " + length + " bytes");
    }
    return new HttpMessage(startLine, headers, new String(body, StandardCharsets.ISO_8859_1));
  }

  /** Returns the status code of a response. */
  public int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  /** Returns the path of a request with its query. */
  public String path() {
    return startLine.split(" ")[1];
  }

  /** Returns the value of a header, or a default value; the name is case-insensitive. */
  public String header(String name, String defaultValue) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), defaultValue);
  }

  /**
   * Returns the text of a response with a content length.
   *
   * @param status status code and reason phrase
   * @param headerLines further header lines, each with its CRLF
   * @param body the body as Latin-1 text
   */
  static String response(String status, String headerLines, String body) {
    return String.format(
        "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headerLines, body.length(), body);
  }

  /** Writes Latin-1 text. */
  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new IOException("stream ended within a line of the head");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }
}
