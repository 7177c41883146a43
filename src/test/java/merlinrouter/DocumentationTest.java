package merlinrouter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that tests and files that the documentation refers to exist. */
class DocumentationTest {
  private static final List<Path> TEST_SOURCES =
      List.of(Path.of("src/test/java"), Path.of("emulator/src/test/java"));

  private static final Pattern TEST_NAME = Pattern.compile("`(\\w+Test)(?:\\.(\\w+))?`");

  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#]+)[^)]*\\)");

  private static final Pattern URL_SCHEME = Pattern.compile("^[a-z]+:.*");

  @Test
  void raceConditionsPageNamesExistingTests() throws IOException {
    Map<String, String> sourcesByClass = testSources();
    List<MatchResult> names = matches(TEST_NAME, "docs/race-conditions.md");
    assertFalse(names.isEmpty(), "docs/race-conditions.md names no test");
    List<String> missing = new ArrayList<>();
    for (MatchResult name : names) {
      String source = sourcesByClass.get(name.group(1));
      String method = name.group(2);
      if (source == null || (method != null && !source.contains("void " + method + "()"))) {
        missing.add(name.group());
      }
    }
    assertEquals(List.of(), missing);
  }

  @Test
  void relativeLinksOfTheReadmeResolve() throws IOException {
    List<String> targets =
        matches(LINK, "README.md").stream()
            .map(link -> link.group(1))
            .filter(target -> !URL_SCHEME.matcher(target).matches())
            .toList();
    assertFalse(targets.isEmpty(), "README.md has no relative link");
    assertEquals(
        List.of(), targets.stream().filter(target -> !Files.exists(Path.of(target))).toList());
  }

  private static List<MatchResult> matches(Pattern pattern, String page) throws IOException {
    return pattern.matcher(Files.readString(Path.of(page))).results().toList();
  }

  private static Map<String, String> testSources() throws IOException {
    Map<String, String> sourcesByClass = new HashMap<>();
    for (Path root : TEST_SOURCES) {
      try (Stream<Path> files = Files.walk(root)) {
        for (Path file : files.filter(path -> path.toString().endsWith("Test.java")).toList()) {
          String className = file.getFileName().toString().replace(".java", "");
          sourcesByClass.put(className, Files.readString(file));
        }
      }
    }
    return sourcesByClass;
  }
}
