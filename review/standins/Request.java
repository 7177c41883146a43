import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** A client's request of class match-lookup or item-log. */
final class Request {
  final String id = String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
  final boolean keyed;
  final int timeoutMillis;
  final String key;
  private final long customer;
  private final String extraHeaders;

  Request(boolean keyed, int timeoutMillis, long customer, String extraHeaders) {
    this.keyed = keyed;
    this.timeoutMillis = timeoutMillis;
    this.customer = customer;
    this.extraHeaders = extraHeaders;
    key = keyed ? "k" + id + id : null;
  }

  String bytesString() {
    return new String(bytes(), StandardCharsets.ISO_8859_1);
  }

  byte[] bytes() {
    String body = keyed ? "{\"item\":\"umbrella\"}" : "";
    String head =
        (keyed ? "POST" : "GET")
            + " /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
            + "\r\nX-Qos: " + (keyed ? "item-log" : "match-lookup")
            + "\r\nX-Plan: fleet\r\nCookie: customer=" + String.format(Locale.ROOT, "%016x", customer)
            + "\r\nX-Expires-In-Ms: " + timeoutMillis
            + "\r\nX-Quota: units=1,spread=2,first=0\r\n"
            + (keyed ? "Idempotency-Key: " + key + "\r\nContent-Length: " + body.length() + "\r\n" : "")
            + extraHeaders + "\r\n";
    return (head + body).getBytes(StandardCharsets.ISO_8859_1);
  }
}
