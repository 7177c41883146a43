package merlinrouter.node.downstream;

import java.util.HashMap;
import java.util.Map;
import merlinrouter.node.http.StrictDecimal;

/** The fields of the header {@link ClientProtocol#QUOTA}, validated when they are read. */
final class QuotaHeader {
  private final Map<String, String> fields = new HashMap<>();

  private QuotaHeader() {}

  /**
   * Splits the header into its fields.
   *
   * @throws InvalidRequestException if a field occurs twice
   */
  static QuotaHeader parse(String text) throws InvalidRequestException {
    QuotaHeader header = new QuotaHeader();
    for (String field : text.split(",")) {
      String[] pair = field.trim().split("=", 2);
      if (header.fields.put(pair[0], pair.length > 1 ? pair[1] : "") != null) {
        throw InvalidRequestException.badRequest(
            ClientProtocol.QUOTA + " says " + pair[0] + " twice");
      }
    }
    return header;
  }

  /**
   * Returns the units that the request takes from its customer's quota.
   *
   * @throws InvalidRequestException if this is not a number above 0 and up to {@code maxUnits}
   */
  double units(double maxUnits) throws InvalidRequestException {
    double units = StrictDecimal.parsePositive(fields.get(ClientProtocol.QUOTA_UNITS), maxUnits);
    if (Double.isNaN(units)) {
      throw InvalidRequestException.badRequest(
          label(ClientProtocol.QUOTA_UNITS)
              + " is not a number above 0 that one request may count");
    }
    return units;
  }

  /**
   * Returns the number of gateways that receive the customer's requests.
   *
   * @throws InvalidRequestException if this is not an integer from 1 to {@code gatewayCount}
   */
  int gatewaySpread(int gatewayCount) throws InvalidRequestException {
    return wholeNumber(ClientProtocol.QUOTA_GATEWAY_SPREAD, 1, gatewayCount);
  }

  /**
   * Returns the index of the first of these gateways.
   *
   * @throws InvalidRequestException if this is not an integer from 0 to {@code gatewayCount - 1}
   */
  int firstGateway(int gatewayCount) throws InvalidRequestException {
    return wholeNumber(ClientProtocol.QUOTA_FIRST_GATEWAY, 0, gatewayCount - 1L);
  }

  private int wholeNumber(String field, long min, long max) throws InvalidRequestException {
    return (int) HeaderValues.wholeNumber(fields.get(field), label(field), min, max);
  }

  private static String label(String field) {
    return ClientProtocol.QUOTA + " " + field;
  }
}
