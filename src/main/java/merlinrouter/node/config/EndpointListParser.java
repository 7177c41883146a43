package merlinrouter.node.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Parses endpoint lists that follow each other and arrive in parts of any size, indented or not.
 * Each entry is read as soon as it is whole, so that a long list is never held as text. Not
 * thread-safe; not usable after an exception.
 */
public final class EndpointListParser {
  /** Maximum number of entries of a list, including several of one endpoint. */
  private static final int MAX_ENTRIES = 1 << 15;

  /** Maximum number of JSON tokens of an entry or of another value in a list. */
  private static final int MAX_VALUE_TOKENS = 256;

  private static final int MAX_NAME_LENGTH = 1_024;
  private static final int MAX_STRING_LENGTH = 16 * 1_024;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNameLength(MAX_NAME_LENGTH)
                  .maxStringLength(MAX_STRING_LENGTH)
                  .build())
          .build();

  /** Where the next token belongs to. */
  private enum Level {
    BETWEEN_LISTS,
    LIST,
    ENTRIES
  }

  private final SettingNames names;
  private final JsonParser parser;
  private final ByteArrayFeeder feeder;
  private final List<EndpointList> completed = new ArrayList<>();

  /** The value of a field, or the entry, that is not whole yet. */
  private final JsonValueBuilder value = new JsonValueBuilder();

  private Level level = Level.BETWEEN_LISTS;
  private boolean betweenLists = true;
  private boolean lastPartWhiteSpace = true;

  /** The fields of the current list, except its entries. */
  private ObjectNode header;

  /** The entries of the current list so far; null before their array has started. */
  private List<EndpointEntry> entries;

  private String fieldName;
  private int valueTokens;

  /**
   * Creates a parser.
   *
   * @param names names in the settings that the lists refer to
   */
  public EndpointListParser(SettingNames names) {
    this.names = names;
    try {
      parser = FACTORY.createNonBlockingByteArrayParser();
    } catch (IOException e) {
      throw new IllegalStateException("the parser reads from memory only", e);
    }
    feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
  }

  /**
   * Reads a part of the text, which starts where the previous one ended.
   *
   * @param text the part, in UTF-8
   * @return the lists that are complete with this part, in their order
   * @throws InvalidConfigException if the text is not a sequence of endpoint lists, or a list
   *     exceeds a limit
   */
  public List<EndpointList> parse(byte[] text) throws InvalidConfigException {
    completed.clear();
    try {
      feeder.feedInput(text, 0, text.length);
      for (JsonToken token = parser.nextToken();
          token != JsonToken.NOT_AVAILABLE;
          token = parser.nextToken()) {
        accept(token);
      }
    } catch (IOException e) {
      throw malformed();
    }
    updateBetweenLists(text);
    return List.copyOf(completed);
  }

  /** A list ends with its brace; a token that has only started is not known to the parser. */
  private void updateBetweenLists(byte[] text) {
    int last = text.length - 1;
    while (last >= 0 && isWhiteSpace(text[last])) {
      last--;
    }
    lastPartWhiteSpace = last < 0;
    if (!lastPartWhiteSpace) {
      betweenLists = level == Level.BETWEEN_LISTS && text[last] == '}';
    }
  }

  private static boolean isWhiteSpace(byte character) {
    return character == ' ' || character == '\n' || character == '\r' || character == '\t';
  }

  /** Returns whether the last part consisted of nothing but white space. */
  public boolean isLastPartWhiteSpace() {
    return lastPartWhiteSpace;
  }

  /** Returns whether the text read so far consists of complete lists only. */
  public boolean isBetweenLists() {
    return betweenLists;
  }

  /** Returns the revision of the list that is incomplete; empty if it is not known yet. */
  public OptionalLong incompleteRevision() {
    return level != Level.BETWEEN_LISTS && header.path(EndpointListKeys.REVISION).isIntegralNumber()
        ? OptionalLong.of(header.get(EndpointListKeys.REVISION).asLong())
        : OptionalLong.empty();
  }

  /**
   * Returns the entries of the list that is incomplete, except the first {@code skipped} ones.
   *
   * @param skipped number of entries to omit, at most as many as there are
   */
  public List<EndpointEntry> incompleteEntries(int skipped) {
    return level == Level.BETWEEN_LISTS || entries == null
        ? List.of()
        : List.copyOf(entries.subList(skipped, entries.size()));
  }

  private void accept(JsonToken token) throws IOException, InvalidConfigException {
    if (value.isInValue()) {
      continueValue(token);
    } else if (level == Level.BETWEEN_LISTS) {
      require(token == JsonToken.START_OBJECT);
      startList();
    } else if (level == Level.LIST) {
      acceptInList(token);
    } else if (token == JsonToken.END_ARRAY) {
      level = Level.LIST;
    } else {
      require(token == JsonToken.START_OBJECT && entries.size() < MAX_ENTRIES);
      startValue(token);
    }
  }

  private void startList() {
    level = Level.LIST;
    header = JsonNodeFactory.instance.objectNode();
    entries = null;
  }

  private void acceptInList(JsonToken token) throws IOException, InvalidConfigException {
    if (token == JsonToken.END_OBJECT) {
      if (entries == null) {
        throw new InvalidConfigException(EndpointListKeys.ENTRIES + " is missing or not an array");
      }
      completed.add(EndpointListReader.list(header, entries));
      level = Level.BETWEEN_LISTS;
    } else if (token == JsonToken.FIELD_NAME) {
      fieldName = parser.currentName();
    } else if (token == JsonToken.START_ARRAY && fieldName.equals(EndpointListKeys.ENTRIES)) {
      entries = new ArrayList<>();
      level = Level.ENTRIES;
    } else {
      startValue(token);
    }
  }

  private void startValue(JsonToken token) throws IOException, InvalidConfigException {
    valueTokens = 0;
    continueValue(token);
  }

  private void continueValue(JsonToken token) throws IOException, InvalidConfigException {
    valueTokens++;
    require(valueTokens <= MAX_VALUE_TOKENS);
    JsonNode whole = value.add(parser, token);
    if (whole == null) {
      return;
    }
    if (level == Level.ENTRIES) {
      entries.add(EndpointListReader.entry(whole, names));
    } else {
      header.set(fieldName, whole);
    }
  }

  private static void require(boolean condition) throws InvalidConfigException {
    if (!condition) {
      throw malformed();
    }
  }

  private static InvalidConfigException malformed() {
    return new InvalidConfigException("the endpoint list is malformed or too long");
  }
}
