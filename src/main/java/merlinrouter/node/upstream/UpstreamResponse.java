package merlinrouter.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import merlinrouter.model.Outcome;
import merlinrouter.node.http.StrictDecimal;

/**
 * A complete response from an endpoint.
 *
 * @param outcome the outcome of the attempt
 * @param chargedUnits the units that the endpoint charged; 0 if not known
 * @param body the body; owned by the connection that received it
 */
record UpstreamResponse(Outcome outcome, double chargedUnits, ByteBuf body) {
  private static final int STATUS_OK = 200;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;

  /**
   * Interprets a response.
   *
   * @param head status and headers
   * @param body the complete body
   * @param maxChargedUnits the maximum that one request may be charged; a larger or malformed
   *     number counts as unknown
   */
  static UpstreamResponse of(HttpResponse head, ByteBuf body, double maxChargedUnits) {
    Outcome outcome = outcomeOf(head);
    double units = outcome == Outcome.OK ? chargedUnitsOf(head, maxChargedUnits) : 0;
    return new UpstreamResponse(outcome, units, body);
  }

  private static Outcome outcomeOf(HttpResponse head) {
    int status = head.status().code();
    if (status == STATUS_OK) {
      return Outcome.OK;
    }
    boolean rejectionStatus =
        status == STATUS_SERVICE_UNAVAILABLE || status == STATUS_GATEWAY_TIMEOUT;
    boolean notExecuted =
        rejectionStatus
            && EndpointProtocol.YES.equals(head.headers().get(EndpointProtocol.NOT_EXECUTED));
    return notExecuted ? Outcome.REJECTED : Outcome.ERROR;
  }

  private static double chargedUnitsOf(HttpResponse head, double maxChargedUnits) {
    String text = head.headers().get(EndpointProtocol.CHARGED_UNITS);
    double units = StrictDecimal.parsePositive(text, maxChargedUnits);
    return Double.isNaN(units) ? 0 : units;
  }
}
