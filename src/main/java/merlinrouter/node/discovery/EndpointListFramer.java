package merlinrouter.node.discovery;

import io.netty.handler.codec.json.JsonObjectDecoder;

/** Finds the end of each endpoint list, which may be on one line or indented over many. */
final class EndpointListFramer extends JsonObjectDecoder {
  private static final int MAX_LIST_BYTES = 1 << 20;

  EndpointListFramer() {
    super(MAX_LIST_BYTES);
  }

  /** Whether no list has begun that is not complete. */
  boolean isBetweenLists() {
    return actualReadableBytes() == 0;
  }
}
