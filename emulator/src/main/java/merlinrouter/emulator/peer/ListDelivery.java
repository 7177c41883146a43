package merlinrouter.emulator.peer;

import java.io.IOException;
import java.io.OutputStream;

/**
 * How discovery writes a list to a watch.
 *
 * @param pieceBytes maximum number of bytes that are written at once
 * @param pauseMillis pause between two pieces
 * @param ending what happens when a piece has been written
 */
public record ListDelivery(int pieceBytes, long pauseMillis, Ending ending) {
  /** What follows a piece of a list. */
  enum Ending {
    NEXT_PIECE,
    SILENCE,
    CLOSE
  }

  /** The whole list in one piece. */
  public static final ListDelivery AT_ONCE =
      new ListDelivery(Integer.MAX_VALUE, 0, Ending.NEXT_PIECE);

  private static final int CUT_SHORT_BYTES = 250;

  /** Returns a delivery in pieces with pauses between them. */
  public static ListDelivery inPieces(int pieceBytes, long pauseMillis) {
    return new ListDelivery(pieceBytes, pauseMillis, Ending.NEXT_PIECE);
  }

  /**
   * Returns a delivery of the first 250 bytes of each list.
   *
   * @param closes whether the watch is then closed, rather than left open without a further byte
   */
  public static ListDelivery cutShort(boolean closes) {
    return new ListDelivery(CUT_SHORT_BYTES, 0, closes ? Ending.CLOSE : Ending.SILENCE);
  }

  /**
   * Writes a list, each piece as a chunk.
   *
   * @return whether the whole list was written; if not, nothing more must be written to the watch
   */
  boolean write(OutputStream out, String list) throws IOException, InterruptedException {
    int from = 0;
    while (from < list.length()) {
      int to = (int) Math.min(list.length(), (long) from + pieceBytes);
      HttpMessage.write(
          out, Integer.toHexString(to - from) + "\r\n" + list.substring(from, to) + "\r\n");
      from = to;
      if (from < list.length() && ending != Ending.NEXT_PIECE) {
        return false;
      }
      Thread.sleep(from < list.length() ? pauseMillis : 0);
    }
    return true;
  }

  /** Returns whether a watch is closed after a list that was cut short. */
  boolean closes() {
    return ending == Ending.CLOSE;
  }
}
