package merlinrouter.emulator.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests how lists are written to watches. */
class ListDeliveryTest {
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  private String written() {
    return written.toString(StandardCharsets.US_ASCII);
  }

  @Test
  void aListIsOneChunkUnlessItComesInPieces() throws Exception {
    assertTrue(ListDelivery.AT_ONCE.write(written, "12345"));
    assertEquals("5\r\n12345\r\n", written());
    written.reset();
    assertTrue(ListDelivery.inPieces(2, 1).write(written, "12345"));
    assertEquals("2\r\n12\r\n2\r\n34\r\n1\r\n5\r\n", written());
  }

  @Test
  void onlyALongListIsCutShort() throws Exception {
    assertTrue(ListDelivery.cutShort(true).write(written, "12345"));
    written.reset();
    assertFalse(ListDelivery.cutShort(true).write(written, "x".repeat(1_000)));
    assertEquals("fa\r\n" + "x".repeat(250) + "\r\n", written());
  }
}
