package merlinrouter.node.warmup;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Idempotency;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.config.SettingNames;
import merlinrouter.node.downstream.ClientProtocol;
import merlinrouter.node.http.ServiceProtocol;
import merlinrouter.node.upstream.EndpointProtocol;
import merlinrouter.settings.RequestClass;

/** Creates synthetic requests, which cycle through all request classes and quota plans. */
final class StubRequests {
  /** Body of requests and responses. */
  static final byte[] BODY = "x".repeat(300).getBytes(StandardCharsets.US_ASCII);

  private static final String LINE_END = "\r\n";
  private static final int CUSTOMERS = 499;

  /** Has as many hexadecimal digits as the id of a customer; the first is replaced by a zero. */
  private static final long CUSTOMER_BASE = 1L << 4 * (ClientProtocol.CUSTOMER_HEX_DIGITS - 1);

  private final NodeConfig config;
  private int requests;

  StubRequests(NodeConfig config) {
    this.config = config;
  }

  /** Returns the bytes of the next request. */
  ByteBuf next(ByteBufAllocator allocator) {
    int number = requests++;
    List<RequestClass> classes = config.settings().requestClasses();
    RequestClass requestClass = classes.get(number % classes.size());
    boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
    StringBuilder head =
        new StringBuilder(idempotent ? "GET " : "POST ")
            .append(ClientProtocol.API_PATH)
            .append("?slot=")
            .append(number)
            .append(" HTTP/1.1")
            .append(LINE_END);
    appendHeaders(head, number, requestClass);
    if (!idempotent) {
      append(head, ServiceProtocol.IDEMPOTENCY_KEY, "k" + number);
      append(head, "Content-Length", Integer.toString(BODY.length));
    }
    ByteBuf request = allocator.buffer();
    request.writeCharSequence(head.append(LINE_END), StandardCharsets.US_ASCII);
    return idempotent ? request : request.writeBytes(BODY);
  }

  private void appendHeaders(StringBuilder head, int number, RequestClass requestClass) {
    SettingNames names = config.names();
    String quotaPlan = names.plans().get(number / 2 % names.plans().size());
    long timeoutMillis = TimeUnit.NANOSECONDS.toMillis(requestClass.deadlineNanos());
    append(head, "Host", EndpointProtocol.SERVICE_HOST);
    append(head, ServiceProtocol.REQUEST_ID, "r" + number);
    append(
        head, ClientProtocol.REQUEST_CLASS, names.classes().get(number % names.classes().size()));
    append(head, ClientProtocol.QUOTA_PLAN, quotaPlan);
    append(head, ClientProtocol.COOKIE, ClientProtocol.CUSTOMER_COOKIE + "=" + customerId(number));
    append(head, ServiceProtocol.TIMEOUT_MILLIS, Long.toString(timeoutMillis));
    append(head, ClientProtocol.QUOTA, quotaHeader());
  }

  private static String customerId(int number) {
    return "0" + Long.toHexString(CUSTOMER_BASE + number % CUSTOMERS).substring(1);
  }

  private String quotaHeader() {
    return ClientProtocol.QUOTA_UNITS
        + "=1,"
        + ClientProtocol.QUOTA_GATEWAY_SPREAD
        + "="
        + config.settings().gatewayCount()
        + ","
        + ClientProtocol.QUOTA_FIRST_GATEWAY
        + "=0";
  }

  private static void append(StringBuilder head, String name, String value) {
    head.append(name).append(": ").append(value).append(LINE_END);
  }
}
