package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.DeduplicationScope;
import merlinrouter.model.Idempotency;
import merlinrouter.settings.CounterSettings;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.Nanos;
import org.junit.jupiter.api.Test;

/** Tests parsing of valid request heads, and rejection of each kind of invalid head. */
class RequestParserTest {
  private static final long CLASS_DEADLINE_MS = 30_000;
  private static final long ARRIVED_AT = 77;
  private static final int GATEWAY_COUNT = 4;

  private final RequestParser parser =
      new RequestParser(
          List.of("lookup", "order", "strict"),
          List.of("free", "bulk"),
          new GatewaySettings(
              0,
              GATEWAY_COUNT,
              0,
              0,
              false,
              List.of(),
              List.of(
                  requestClass(Idempotency.IDEMPOTENT),
                  requestClass(Idempotency.IDEMPOTENCY_KEY),
                  requestClass(Idempotency.NON_IDEMPOTENT)),
              List.of(),
              null,
              new CounterSettings(true, 0, true, 8),
              null),
          Long::sum);

  private static RequestClass requestClass(Idempotency idempotency) {
    return new RequestClass(
        0,
        CLASS_DEADLINE_MS * Nanos.PER_MILLI,
        idempotency,
        DeduplicationScope.values()[0],
        0,
        0,
        1);
  }

  /** Returns a valid request of the class that requires an idempotency key. */
  private static HttpRequest order() {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api?slot=4");
    head.headers()
        .set("X-Trace-Id", "t-1")
        .set("X-Qos", "order")
        .set("X-Plan", "bulk")
        .set("Cookie", "theme=dark; customer=00000001ffffffff")
        .set("Idempotency-Key", "key-1")
        .set("X-Expires-In-Ms", "20000")
        .set("X-Quota", "units=1.5, spread=2,first=3");
    return head;
  }

  private ClientRequest parse(HttpRequest head) throws InvalidRequestException {
    return parser.parse(head, ARRIVED_AT).request();
  }

  private void assertRejected(HttpRequest head, HttpResponseStatus status, String reason) {
    InvalidRequestException rejection =
        assertThrows(InvalidRequestException.class, () -> parser.parse(head, ARRIVED_AT), reason);
    assertEquals(reason, rejection.getMessage());
    assertEquals(status, rejection.status(), reason);
  }

  private void assertHeaderRejected(String header, String value, String reason) {
    HttpRequest head = order();
    head.headers().set(header, value);
    assertRejected(head, HttpResponseStatus.BAD_REQUEST, reason);
  }

  @Test
  void validRequestIsParsed() throws Exception {
    ParsedRequest parsed = parser.parse(order(), ARRIVED_AT);
    assertEquals(HttpMethod.POST, parsed.method());
    assertEquals("/api?slot=4", parsed.uri());
    assertEquals("key-1", parsed.idempotencyKey());
    long deadline = ARRIVED_AT + 20_000 * Nanos.PER_MILLI;
    assertEquals(
        new ClientRequest("t-1", 1, 1, (1L << 33) - 1, deadline, 1.5, 2, 3, false),
        parsed.request());
  }

  @Test
  void keyIsOptionalForOtherClasses() throws Exception {
    HttpRequest head = order();
    head.headers().set("X-Qos", "strict").remove("Idempotency-Key");
    assertNull(parser.parse(head, ARRIVED_AT).idempotencyKey());
    head.headers().set("Idempotency-Key", "two words");
    assertRejected(head, HttpResponseStatus.BAD_REQUEST, "Idempotency-Key is no name");
  }

  @Test
  void retryIsMarkedWithTheValueOne() throws Exception {
    HttpRequest head = order();
    head.headers().set("X-Second-Try", "1");
    assertTrue(parse(head).retry());
    head.headers().set("X-Second-Try", "true");
    assertFalse(parse(head).retry());
  }

  @Test
  void timeoutIsAtMostTwiceTheClassDeadline() throws Exception {
    HttpRequest head = order();
    head.headers().set("X-Expires-In-Ms", "60000");
    assertEquals(ARRIVED_AT + 60_000 * Nanos.PER_MILLI, parse(head).deadlineNanos());
    for (String invalid : List.of("60001", "0", "-1", "+1", "1e3", "soon", "0000000000000001")) {
      assertHeaderRejected(
          "X-Expires-In-Ms", invalid, "X-Expires-In-Ms is not a whole number from 1 to 60000");
    }
  }

  @Test
  void otherPathsAndMethodsAreRejected() {
    for (String uri : List.of("/", "/api/", "/apis", "/elsewhere?/api")) {
      HttpRequest head = order();
      head.setUri(uri);
      assertRejected(head, HttpResponseStatus.NOT_FOUND, "no such path");
    }
    HttpRequest get = order();
    get.setMethod(HttpMethod.GET);
    assertRejected(get, HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by POST");
    HttpRequest post = order();
    post.headers().set("X-Qos", "lookup");
    assertRejected(post, HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by GET");
  }

  @Test
  void requiredHeadersMustOccurExactlyOnce() {
    for (String header :
        List.of(
            "X-Trace-Id",
            "X-Qos",
            "X-Plan",
            "Cookie",
            "Idempotency-Key",
            "X-Expires-In-Ms",
            "X-Quota")) {
      HttpRequest missing = order();
      missing.headers().remove(header);
      assertRejected(missing, HttpResponseStatus.BAD_REQUEST, header + " is missing");
      assertHeaderRejected(header, "", header + " is missing");
      HttpRequest twice = order();
      twice.headers().add(header, order().headers().get(header));
      assertRejected(twice, HttpResponseStatus.BAD_REQUEST, header + " stands there twice");
    }
  }

  @Test
  void forwardedNamesAreVisibleAsciiOfLimitedLength() throws Exception {
    HttpRequest longest = order();
    longest.headers().set("X-Trace-Id", "x".repeat(128));
    assertEquals(128, parse(longest).id().length());
    for (String header : List.of("X-Trace-Id", "Idempotency-Key")) {
      for (String invalid : List.of("x".repeat(129), "two words", "caf\u00e9")) {
        assertHeaderRejected(header, invalid, header + " is no name");
      }
    }
  }

  @Test
  void unknownClassesAndPlansAreRejected() {
    assertHeaderRejected("X-Qos", "odd", "X-Qos is unknown");
    assertHeaderRejected("X-Plan", "gold", "X-Plan is unknown");
  }

  @Test
  void cookieMustNameOneCustomer() {
    for (String invalid :
        List.of(
            "theme=dark",
            "customer=zz",
            "customer=7",
            "customer=+000000000000007",
            "customer=0000000200000000",
            "customer=ffffffffffffffff")) {
      assertHeaderRejected("Cookie", invalid, "the cookie names no customer");
    }
    assertHeaderRejected(
        "Cookie",
        "customer=0000000000000007; customer=0000000000000007",
        "the cookie names two customers");
  }

  @Test
  void quotaFieldsAreValidated() {
    String unitsReason = "X-Quota units is not a number above 0 that one request may count";
    for (String units : List.of("0", "-1", "8.5", "1d", "NaN", "1e0", "")) {
      assertHeaderRejected("X-Quota", "units=" + units + ",spread=1,first=0", unitsReason);
    }
    assertHeaderRejected("X-Quota", "spread=1,first=0", unitsReason);
    String spreadReason = "X-Quota spread is not a whole number from 1 to 4";
    for (String spread : List.of("0", "5", "0x1", "")) {
      assertHeaderRejected("X-Quota", "units=1,spread=" + spread + ",first=0", spreadReason);
    }
    String firstReason = "X-Quota first is not a whole number from 0 to 3";
    for (String first : List.of("4", "-1", "")) {
      assertHeaderRejected("X-Quota", "units=1,spread=1,first=" + first, firstReason);
    }
    assertHeaderRejected("X-Quota", "units=1,units=1", "X-Quota says units twice");
  }
}
