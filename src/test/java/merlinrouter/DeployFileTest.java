package merlinrouter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the deploy file lists every decision file by its own path, as the bench requires. */
class DeployFileTest {
  private static final Path SOURCES = Path.of("src/main/java/merlinrouter");

  /** Packages that contain no decisions. */
  private static final Set<String> OTHER_PACKAGES = Set.of("node", "settings", "simulator");

  private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");

  @Test
  void policyListsEachDecisionFile() throws IOException {
    assertEquals(decisionFiles(), new TreeSet<>(paths("policy")));
  }

  @Test
  void nodeListsExistingFilesAndFolders() throws IOException {
    List<String> missing =
        paths("node").stream().filter(path -> !Files.exists(Path.of(path))).toList();
    assertEquals(List.of(), missing);
  }

  private static Set<String> decisionFiles() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files
          .filter(file -> SOURCES.relativize(file).getNameCount() > 1)
          .filter(file -> file.toString().endsWith(".java"))
          .filter(file -> !file.endsWith("package-info.java"))
          .filter(file -> !OTHER_PACKAGES.contains(SOURCES.relativize(file).getName(0).toString()))
          .map(Path::toString)
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }

  /** Returns the strings of a key's list, which may span several lines. */
  private static List<String> paths(String key) throws IOException {
    String text = Files.readString(Path.of("deploy/balancer.toml"));
    int start = text.indexOf("\n" + key + " = [");
    assertFalse(start < 0, key + " has no list in deploy/balancer.toml");
    String list = text.substring(start, text.indexOf(']', start));
    return QUOTED.matcher(list).results().map(match -> match.group(1)).toList();
  }
}
