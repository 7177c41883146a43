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
 * @param outcome what it means for the call
 * @param total the counter's total; 0 unless the outcome is {@link Outcome#OK}
 * @param connectionUsable whether the connection may carry further calls
 */
record CounterResponse(Outcome outcome, double total, boolean connectionUsable) {
  private static final int STATUS_ADDED = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;

  /** Reads a response; the body stays the caller's. */
  static CounterResponse of(HttpResponse head, ByteBuf body) {
    boolean keepAlive = HttpUtil.isKeepAlive(head);
    return switch (head.status().code()) {
      case STATUS_ADDED -> added(body, keepAlive);
      // The counter rejects a call before it adds anything.
      case STATUS_UNAVAILABLE, STATUS_BAD_REQUEST, STATUS_NOT_FOUND ->
          new CounterResponse(Outcome.REJECTED, 0, keepAlive);
      default -> new CounterResponse(Outcome.RESET, 0, false);
    };
  }

  /** The amount was added. A malformed total leaves it unknown, and the connection is suspect. */
  private static CounterResponse added(ByteBuf body, boolean keepAlive) {
    double total = StrictDecimal.parseFinite(body.toString(StandardCharsets.US_ASCII).strip());
    return Double.isNaN(total)
        ? new CounterResponse(Outcome.RESET, 0, false)
        : new CounterResponse(Outcome.OK, total, keepAlive);
  }
}
