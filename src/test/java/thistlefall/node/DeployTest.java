package thistlefall.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The command that the deploy file starts a node with, on the classes at hand instead of the jar. */
@Timeout(120)
class DeployTest extends Stage {
    @TempDir
    Path folder;

    private static String run() throws Exception {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
        String command = line.substring("run = \"".length(), line.length() - 1);
        String onClasses = command.replace("-jar target/thistlefall.jar", "-cp \"$CLASSES\" thistlefall.node.Main")
            .replaceFirst(" -XX:SharedArchiveFile=\\S+", "");
        assertTrue(onClasses.contains("$CLASSES") && onClasses.startsWith("exec "), command);
        return onClasses;
    }

    /** A JVM takes no handler for a hang-up that it was started to ignore, and so was deaf to every move. */
    @Test
    void aHangUpIsHeardThoughTheNodeWasStartedToIgnoreIt() throws Exception {
        Path file = folder.resolve("config.json");
        Peer elsewhere = peer(m -> m.answer(UNCHANGED));
        String config = config();
        Files.writeString(file, config);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; " + run())
            .redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("CLASSES", System.getProperty("java.class.path"));
        Process process = builder.start();
        toClose.add(process::destroyForcibly);
        BufferedReader said = new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        ReloadTest.await(said, "serving on");
        discovery.next();
        Files.writeString(file, config.replace(discovery.address(), elsewhere.address()));
        ReloadTest.hangUp(process);
        elsewhere.next();
        assertEquals(0, process.descendants().count(), "one process, which began no other");
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Kept from being read as the node is made: the file is a pipe, which is read when it is written to. */
    @Test
    void aHangUpWhileTheFileIsReadHasItReadAgain() throws Exception {
        Path file = folder.resolve("config.pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        Peer elsewhere = peer(m -> m.answer(UNCHANGED));
        String config = config();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run()).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("CLASSES", System.getProperty("java.class.path"));
        Process process = builder.start();
        toClose.add(process::destroyForcibly);
        BufferedReader said = new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        Files.writeString(file, config);
        ReloadTest.await(said, "rehearsed with");
        // Opening a pipe to write waits for its reader, so the node is in its second reading now.
        try (var writing = Files.newOutputStream(file)) {
            ReloadTest.hangUp(process);
            ReloadTest.await(said, "the configuration will be read again");
            // Whoever opens the name from now on reads the new file; the pipe's reader has the old one.
            Path changed = Files.writeString(folder.resolve("changed"),
                config.replace(discovery.address(), elsewhere.address()));
            Files.move(changed, file, StandardCopyOption.ATOMIC_MOVE);
            writing.write(config.getBytes(StandardCharsets.UTF_8));
        }
        elsewhere.next();
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    }
}
