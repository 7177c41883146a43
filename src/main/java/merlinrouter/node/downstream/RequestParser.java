package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.List;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Idempotency;
import merlinrouter.node.http.ServiceProtocol;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.Nanos;

/** Parses and validates the heads of requests. Keeps no state between them. */
final class RequestParser {
  private static final int HEXADECIMAL = 16;

  /** The maximum timeout of a client, as a multiple of the deadline of its request class. */
  private static final int MAX_TIMEOUT_FACTOR = 2;

  private final List<String> requestClassNames;
  private final List<String> quotaPlanNames;
  private final GatewaySettings settings;
  private final DeadlineFunction deadline;

  /**
   * Creates a parser.
   *
   * @param requestClassNames the names of the settings' request classes, by index
   * @param quotaPlanNames the names of the settings' quota plans, by index
   * @param deadline computes a request's deadline as {@link RequestHandler#deadlineNanos} does
   */
  RequestParser(
      List<String> requestClassNames,
      List<String> quotaPlanNames,
      GatewaySettings settings,
      DeadlineFunction deadline) {
    this.requestClassNames = requestClassNames;
    this.quotaPlanNames = quotaPlanNames;
    this.settings = settings;
    this.deadline = deadline;
  }

  /**
   * Parses a request.
   *
   * @param arrivedAtNanos when it arrived, by the gateway's clock
   * @throws InvalidRequestException with the first error that is found
   */
  ParsedRequest parse(HttpRequest head, long arrivedAtNanos) throws InvalidRequestException {
    String uri = head.uri();
    if (!uri.equals(ClientProtocol.API_PATH) && !uri.startsWith(ClientProtocol.API_PATH + "?")) {
      throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "no such path");
    }
    HttpHeaders headers = head.headers();
    String id = HeaderValues.requiredToken(headers, ServiceProtocol.REQUEST_ID);
    int classIndex = indexOf(requestClassNames, headers, ClientProtocol.REQUEST_CLASS);
    int planIndex = indexOf(quotaPlanNames, headers, ClientProtocol.QUOTA_PLAN);
    RequestClass requestClass = settings.requestClasses().get(classIndex);
    HttpMethod method = checkMethod(head.method(), requestClass);
    String idempotencyKey = idempotencyKey(headers, requestClass);
    long timeoutNanos = timeoutNanos(headers, requestClass);
    QuotaHeader quota = QuotaHeader.parse(HeaderValues.required(headers, ClientProtocol.QUOTA));
    ClientRequest request =
        new ClientRequest(
            id,
            classIndex,
            planIndex,
            customer(headers),
            deadline.deadlineNanos(arrivedAtNanos, timeoutNanos),
            quota.units(settings.counter().maxRequestUnits()),
            quota.gatewaySpread(settings.gatewayCount()),
            quota.firstGateway(settings.gatewayCount()),
            ClientProtocol.RETRY_TRUE.equals(headers.get(ClientProtocol.RETRY)));
    return new ParsedRequest(request, timeoutNanos, method, uri, idempotencyKey);
  }

  private static int indexOf(List<String> names, HttpHeaders headers, String header)
      throws InvalidRequestException {
    int index = names.indexOf(HeaderValues.required(headers, header));
    if (index < 0) {
      throw InvalidRequestException.badRequest(header + " is unknown");
    }
    return index;
  }

  private static HttpMethod checkMethod(HttpMethod method, RequestClass requestClass)
      throws InvalidRequestException {
    HttpMethod expected =
        requestClass.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
    if (!method.equals(expected)) {
      throw new InvalidRequestException(
          HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by " + expected);
    }
    return expected;
  }

  /** Returns the idempotency key, which a class may require; null if there is none. */
  private static String idempotencyKey(HttpHeaders headers, RequestClass requestClass)
      throws InvalidRequestException {
    String key = HeaderValues.optional(headers, ServiceProtocol.IDEMPOTENCY_KEY);
    if (key != null || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
      HeaderValues.requiredToken(headers, ServiceProtocol.IDEMPOTENCY_KEY);
    }
    return key;
  }

  /**
   * Returns the client's timeout. One above the maximum is rejected, because it would only keep the
   * request open longer.
   */
  private static long timeoutNanos(HttpHeaders headers, RequestClass requestClass)
      throws InvalidRequestException {
    long timeoutMs =
        HeaderValues.wholeNumber(
            HeaderValues.required(headers, ServiceProtocol.TIMEOUT_MILLIS),
            ServiceProtocol.TIMEOUT_MILLIS,
            1,
            MAX_TIMEOUT_FACTOR * requestClass.deadlineNanos() / Nanos.PER_MILLI);
    return timeoutMs * Nanos.PER_MILLI;
  }

  private static long customer(HttpHeaders headers) throws InvalidRequestException {
    String cookies = HeaderValues.required(headers, ClientProtocol.COOKIE);
    String digits = null;
    for (Cookie cookie : ServerCookieDecoder.LAX.decodeAll(cookies)) {
      if (cookie.name().equals(ClientProtocol.CUSTOMER_COOKIE)) {
        if (digits != null) {
          throw InvalidRequestException.badRequest("the cookie names two customers");
        }
        digits = cookie.value();
      }
    }
    if (digits != null
        && digits.length() == ClientProtocol.CUSTOMER_HEX_DIGITS
        && HeaderValues.hasOnlyDigits(digits, HEXADECIMAL)) {
      long customer = Long.parseUnsignedLong(digits, HEXADECIMAL);
      if (customer >= 0 && customer < ClientProtocol.CUSTOMER_LIMIT) {
        return customer;
      }
    }
    throw InvalidRequestException.badRequest("the cookie names no customer");
  }
}
