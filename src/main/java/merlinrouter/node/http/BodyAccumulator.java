package merlinrouter.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Copies the parts of a message's body into one buffer, up to a maximum size. Not thread-safe. */
public final class BodyAccumulator {
  private static final int MIN_CAPACITY_BYTES = 256;

  private final int maxBytes;
  private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

  /** Creates an accumulator for bodies of up to {@code maxBytes}. */
  public BodyAccumulator(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns the number of bytes that the body has so far. */
  public int size() {
    return bytes.readableBytes();
  }

  /**
   * Appends a copy of a part, which the caller still owns. Returns false, and appends nothing, if
   * the body would be larger than the maximum.
   */
  public boolean add(ByteBuf part) {
    int length = part.readableBytes();
    if (size() + length > maxBytes) {
      return false;
    }
    if (length > 0) {
      if (!bytes.isReadable()) {
        bytes = Unpooled.buffer(Math.max(MIN_CAPACITY_BYTES, length));
      }
      bytes.writeBytes(part, part.readerIndex(), length);
    }
    return true;
  }

  /** Returns the body, which the caller then owns, and starts with an empty one. */
  public ByteBuf take() {
    ByteBuf body = bytes;
    bytes = Unpooled.EMPTY_BUFFER;
    return body;
  }
}
