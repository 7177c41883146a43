package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

/**
 * Checks the white space of request lines. Netty's decoder ends a request target also at a tab, a
 * vertical tab, a form feed or a carriage return, so that a target with one of these at its end
 * would be forwarded without it. RFC 9112, section 3, separates the parts by single spaces.
 */
final class RequestLines {
  private static final byte VERTICAL_TAB = 0x0b;
  private static final byte FORM_FEED = 0x0c;
  private static final byte DELETE = 0x7f;

  private RequestLines() {}

  /**
   * Returns the index of a request line's first byte: Netty's decoder skips control characters and
   * white space before it.
   *
   * @param input holds the bytes from {@code startIndex} to its reader index; neither is changed
   * @return an index below the reader index; -1 if there are only bytes that are skipped
   */
  static int findStart(ByteBuf input, int startIndex) {
    return input.forEachByte(startIndex, input.readerIndex() - startIndex, each -> isSkipped(each));
  }

  private static boolean isSkipped(byte each) {
    return each >= 0 && each <= HttpConstants.SP || each == DELETE;
  }

  /**
   * Returns whether the decoded line that starts at an index has no white space but spaces, except
   * for its end.
   */
  static boolean hasOnlySpaces(ByteBuf input, int lineIndex) {
    int lineFeed = input.indexOf(lineIndex, input.readerIndex(), HttpConstants.LF);
    int lineEnd = lineFeed < 0 ? input.readerIndex() : lineFeed;
    if (lineEnd > lineIndex && input.getByte(lineEnd - 1) == HttpConstants.CR) {
      lineEnd--;
    }
    return input.forEachByte(lineIndex, lineEnd - lineIndex, each -> !isOtherWhiteSpace(each)) < 0;
  }

  private static boolean isOtherWhiteSpace(byte each) {
    return each == HttpConstants.HT
        || each == HttpConstants.CR
        || each == VERTICAL_TAB
        || each == FORM_FEED;
  }
}
