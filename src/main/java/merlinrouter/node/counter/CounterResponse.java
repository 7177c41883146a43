package merlinrouter.node.counter;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import merlinrouter.model.Outcome;
import merlinrouter.node.http.StrictDecimal;

/**
 * A complete response of the counter.
 *
 * @param outcome the resulting outcome of the call
 * @param total the counter's total; 0 unless the outcome is {@link Outcome#OK}
 * @param connectionUsable whether the connection may be used for further calls
 */
record CounterResponse(Outcome outcome, double total, boolean connectionUsable) {
  private static final int STATUS_ADDED = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;

  /** Interprets a response; the body is read but not released. */
  static CounterResponse of(HttpResponse head, ByteBuf body) {
    boolean keepAlive = HttpUtil.isKeepAlive(head);
    return switch (head.status().code()) {
      case STATUS_ADDED -> added(body, keepAlive);
      // The counter sends these statuses only if it has added nothing.
      case STATUS_UNAVAILABLE, STATUS_BAD_REQUEST, STATUS_NOT_FOUND ->
          new CounterResponse(Outcome.REJECTED, 0, keepAlive);
      default -> new CounterResponse(Outcome.RESET, 0, false);
    };
  }

  /**
   * Interprets a response of status 200: the amount was added. A malformed total leaves the
   * counter's total unknown, and the connection is not used further.
   */
  private static CounterResponse added(ByteBuf body, boolean keepAlive) {
    double total = StrictDecimal.parseFinite(body.toString(StandardCharsets.US_ASCII).strip());
    return Double.isNaN(total)
        ? new CounterResponse(Outcome.RESET, 0, false)
        : new CounterResponse(Outcome.OK, total, keepAlive);
  }
}
