package merlinrouter.node.discovery;

import io.netty.handler.codec.json.JsonObjectDecoder;

/** Splits the content of a watch into endpoint lists, each on one line or on several. */
final class EndpointListFramer extends JsonObjectDecoder {
  private static final int MAX_LIST_BYTES = 1 << 20;

  EndpointListFramer() {
    super(MAX_LIST_BYTES);
  }

  /** Returns whether no endpoint list has been received in part. */
  boolean isBetweenLists() {
    return actualReadableBytes() == 0;
  }
}
