package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A client that sends several requests at once on one connection and reads their answers. */
final class PipelineClient {
  /**
   * How a burst ended.
   *
   * @param writtenMillis when the last byte of its last request had been written
   * @param ids the ids of its requests, in their order
   * @param answers how many of them got a whole answer, which were the first ones
   * @param end what ended the connection before all answers: "orderly" or an exception; null if
   *     all answers came
   * @param foreign how many answers with status 200 had another body than the one made for them
   */
  record Burst(double writtenMillis, List<String> ids, int answers, String end, int foreign) {}

  private PipelineClient() {}

  /** Sends one burst on a new connection and reads all answers, or up to the connection's end. */
  static Burst burst(Kit kit, int port, int size) throws IOException {
    List<String> ids = new ArrayList<>();
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < size; i++) {
      String id = kit.newId();
      ids.add(id);
      text.append(Client.lookup(id, "", Client.TIMEOUT_MILLIS, kit.random.nextInt(1 << 30)));
    }
    int answers = 0;
    int foreign = 0;
    String end = null;
    double written;
    try (Client client = new Client(port)) {
      client.write(text.toString());
      written = kit.millis();
      kit.log("client: sent at once " + ids);
      while (answers < size && end == null) {
        Http.Message answer;
        try {
          answer = client.read(2 * Client.TIMEOUT_MILLIS);
        } catch (IOException e) {
          end = e.toString();
          break;
        }
        if (answer == null) {
          end = "orderly";
        } else {
          String id = ids.get(answers);
          boolean own = answer.text().equals(MatchServer.bodyFor(id, "GET /api HTTP/1.1"));
          foreign += answer.status() == 200 && !own ? 1 : 0;
          kit.log(
              "client: "
                  + id
                  + " answered "
                  + answer.status()
                  + (answer.header("connection").isEmpty()
                      ? ""
                      : ", Connection: " + answer.header("connection")));
          answers++;
        }
      }
      if (end != null) {
        kit.log("client: connection ended (" + end + "), no answer to " + ids.subList(answers, size));
      }
    }
    return new Burst(written, ids, answers, end, foreign);
  }
}
