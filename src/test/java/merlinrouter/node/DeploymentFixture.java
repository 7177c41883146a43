package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;

/** Runs the command of the deploy file, with the test's classes instead of the jar. */
abstract class DeploymentFixture extends NodeFixture {
  @TempDir Path folder;

  /** Returns the command as a shell script that takes the class path from {@code $CLASSES}. */
  static String runCommand() throws Exception {
    String line =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(setting -> setting.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = line.substring("run = \"".length(), line.length() - 1);
    String commandOnClasses =
        command
            .replace("-jar target/merlinrouter.jar", "-cp \"$CLASSES\" merlinrouter.Main")
            .replaceFirst(" -XX:SharedArchiveFile=\\S+", "");
    assertTrue(
        commandOnClasses.contains("$CLASSES") && commandOnClasses.startsWith("exec "), command);
    return commandOnClasses;
  }

  NodeProcess startScript(String script, Path configFile) throws IOException {
    NodeProcess process = NodeProcess.startScript(script, configFile);
    resources.add(process);
    return process;
  }
}
