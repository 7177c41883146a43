import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message, read from a stream. */
final class Http {
  final String startLine;
  final Map<String, String> headers = new LinkedHashMap<>();
  byte[] body = {};

  private Http(String startLine) {
    this.startLine = startLine;
  }

  String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  /** The path and query of a request. */
  String target() {
    return startLine.split(" ")[1];
  }

  /** The status of a response. */
  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  boolean closes() {
    return "close".equalsIgnoreCase(header("Connection"));
  }

  /** Reads a message; null at the end of the stream before its first byte. */
  static Http read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Http message = new Http(start);
    for (String line = need(in); !line.isEmpty(); line = need(in)) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("header without a colon: " + line);
      }
      message.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int size = Integer.parseInt(need(in), 16); size > 0; size = Integer.parseInt(need(in), 16)) {
        all.write(in.readNBytes(size));
        need(in);
      }
      need(in);
      message.body = all.toByteArray();
    } else if (message.header("Content-Length") != null) {
      int length = Integer.parseInt(message.header("Content-Length"));
      message.body = in.readNBytes(length);
      if (message.body.length < length) {
        throw new EOFException("the body is cut short");
      }
    }
    return message;
  }

  private static String need(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      throw new EOFException("the message is cut short");
    }
    return line;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      bytes.write(next);
      next = in.read();
    }
    if (next < 0) {
      throw new EOFException("a line is cut short");
    }
    return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }
}
