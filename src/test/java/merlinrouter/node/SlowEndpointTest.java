package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Endpoints whose responses arrive in pieces, well within the clients' time. */
@Timeout(60)
class SlowEndpointTest extends NodeFixture {
  private static final int PIECES = 6;

  private static void respondInPieces(ScriptedServer.Message request, long pauseMillis)
      throws IOException, InterruptedException {
    String text = ScriptedServer.okResponse("", "x".repeat(600));
    int pieceLength = text.length() / PIECES + 1;
    for (int from = 0; from < text.length(); from += pieceLength) {
      request.respond(text.substring(from, Math.min(text.length(), from + pieceLength)));
      Thread.sleep(pauseMillis);
    }
  }

  /**
   * A response counted as malformed 0.25 s after its first byte, whether or not it went on to
   * arrive. Another attempt took as long, and a class that may not be repeated failed.
   */
  @ParameterizedTest
  @CsvSource({"strict, 100", "strict, 400", "order, 100", "order, 400"})
  void aResponseInPiecesIsServed(String requestClass, long pauseMillis) throws Exception {
    ScriptedServer first = startServer(request -> respondInPieces(request, pauseMillis));
    ScriptedServer second = startServer(request -> respondInPieces(request, pauseMillis));
    Socket client = connect(startNode(first, second));
    writeRequest(client, "POST /api", requestHeaders("t-1", requestClass, "20000"), "book");
    assertEquals("200", readStatus(client));
  }
}
