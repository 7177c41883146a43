package merlinrouter.node.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import merlinrouter.model.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests endpoint lists that arrive in parts of any size, and malformed ones. */
class EndpointListParserTest {
  private static final SettingNames NAMES =
      new SettingNames(List.of(), List.of(), List.of("a"), List.of("m"));

  private final EndpointListParser parser = new EndpointListParser(NAMES);

  private static String entry(int number) {
    return "{\"id\":\"s-"
        + number
        + "\",\"host_port\":\"127.0.0.1:"
        + (1_000 + number)
        + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":1,\"phase\":\"Ready\","
        + "\"size\":1.5,\"up_since_ms\":1796600000000,\"tags\":[{\"name\":\"{}\"},[]]}";
  }

  private static String list(int revision, int entries) {
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      texts.add(entry(i));
    }
    return "{\"revision\":" + revision + ",\"members\":[" + String.join(",", texts) + "]}";
  }

  private List<EndpointList> parse(String text) throws InvalidConfigException {
    return parser.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void entryHasAllFields() throws InvalidConfigException {
    EndpointEntry entry = parse(list(7, 1)).get(0).entries().get(0);
    assertEquals("s-0", entry.endpoint().id());
    assertEquals(new InetSocketAddress("127.0.0.1", 1_000), entry.address());
    assertEquals(1.5, entry.endpoint().weight());
    assertEquals(EndpointState.READY, entry.endpoint().state());
    assertEquals(1_796_600_000_000_000_000L, entry.endpoint().startedAtNanos());
  }

  /** The result must not depend on where the text is divided. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 7, 64, 1_000, 100_000})
  void textMayArriveInPartsOfAnySize(int maxPartBytes) throws InvalidConfigException {
    String separator = ",\n" + " ".repeat(24);
    byte[] text =
        (list(1, 3) + "\n\n" + list(2, 0) + list(3, 400).replace(",", separator) + " \r\n")
            .getBytes(StandardCharsets.UTF_8);
    Random random = new Random(maxPartBytes);
    List<EndpointList> lists = new ArrayList<>();
    int from = 0;
    while (from < text.length) {
      int to = Math.min(text.length, from + 1 + random.nextInt(maxPartBytes));
      lists.addAll(parser.parse(Arrays.copyOfRange(text, from, to)));
      from = to;
    }
    assertTrue(parser.isBetweenLists());
    assertEquals(List.of(1L, 2L, 3L), lists.stream().map(EndpointList::revision).toList());
    assertEquals(List.of(3, 0, 400), lists.stream().map(list -> list.entries().size()).toList());
  }

  @Test
  void entriesOfAnIncompleteListAreAvailable() throws InvalidConfigException {
    String text = list(9, 3);
    assertEquals(List.of(), parse(text.substring(0, 5)));
    assertEquals(OptionalLong.empty(), parser.incompleteRevision());
    assertFalse(parser.isBetweenLists());
    int thirdEntry = text.indexOf("s-2");
    assertEquals(List.of(), parse(text.substring(5, thirdEntry)));
    assertEquals(OptionalLong.of(9), parser.incompleteRevision());
    assertEquals(2, parser.incompleteEntries(0).size());
    assertEquals("s-1", parser.incompleteEntries(1).get(0).endpoint().id());
    assertEquals(3, parse(text.substring(thirdEntry)).get(0).entries().size());
    assertEquals(OptionalLong.empty(), parser.incompleteRevision());
    assertEquals(List.of(), parser.incompleteEntries(0));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "]",
        "[]",
        "5 ",
        "no list",
        "{}",
        "{\"revision\":1}",
        "{\"revision\":1,\"members\":{}}",
        "{\"revision\":1,\"members\":null}",
        "{\"revision\":\"1\",\"members\":[]}",
        "{\"members\":[]}",
        "{\"revision\":1,\"members\":[5]}",
        "{\"revision\":1,\"members\":[{}]}",
        "{\"revision\":1,\"members\":[{\"id\":\"s-\n{",
        "{\"revision\":1,\"members\":[{\"id\":\"s\",\"host_port\":\"here\",\"phase\":\"Ready\"}]}"
      })
  void malformedTextIsRejected(String text) {
    assertThrows(InvalidConfigException.class, () -> parse(text));
  }

  @Test
  void endlessListIsRejected() {
    assertThrows(
        InvalidConfigException.class,
        () -> {
          parse("{\"revision\":1,\"members\":[");
          for (int i = 0; i <= 32_768; i++) {
            parse(entry(i % 10) + ",");
          }
        });
  }

  @Test
  void endlessEntryIsRejected() {
    assertThrows(
        InvalidConfigException.class,
        () -> {
          parse("{\"revision\":1,\"members\":[{");
          for (int i = 0; i <= 256; i++) {
            parse("\"field\":5,");
          }
        });
  }
}
