package holdproxy.net;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which cache nodes operators have left out, kept for the next process, and shared with the other one while
 * two run. An empty file stands for a node that is out, another for one that is used again, and since when:
 * one is there or is not, so that no half-written state can be met and two processes need no lock. Not
 * thread-safe.
 */
final class KeptOut {
    /** A file that tells of a return is of no use once the node is warm for certain. */
    private static final long RETURNS_FOR_MS = 600_000;

    private static final String OUT = "out-";
    private static final String BACK = "back-";

    /** What a call has changed, and when it came, in milliseconds since 1970. */
    interface Change {
        void made(String node, boolean out, long atUnixMs);
    }

    /** Null: nothing outlives the process. */
    private final Path folder;

    private final Time time;
    private final Set<String> out = new HashSet<>();

    /** {@code folder} is made if it is not there; null: there is none. */
    KeptOut(Path folder, Time time) throws IOException {
        this.folder = folder == null ? null : Files.createDirectories(folder);
        this.time = time;
    }

    /** All that is kept, for a process that starts: nodes that are out, and returns of late. */
    void all(Change change) throws IOException {
        Map<String, Long> back = new HashMap<>();
        for (Map.Entry<String, Long> e : files(OUT).entrySet()) {
            out.add(e.getKey());
            change.made(e.getKey(), true, e.getValue());
        }
        for (Map.Entry<String, Long> e : files(BACK).entrySet()) {
            if (time.unixMs() - e.getValue() > RETURNS_FOR_MS) {
                Files.deleteIfExists(file(BACK, e.getKey()));
            } else if (!out.contains(e.getKey())) {
                back.put(e.getKey(), e.getValue());
            }
        }
        back.forEach((node, at) -> change.made(node, false, at));
    }

    /** What another process was told since this was asked last. Where this fails all stays as it was. */
    void changes(Change change) throws IOException {
        Map<String, Long> now = files(OUT);
        for (Map.Entry<String, Long> e : now.entrySet()) {
            if (out.add(e.getKey())) {
                change.made(e.getKey(), true, e.getValue());
            }
        }
        for (String node : Set.copyOf(out)) {
            if (!now.containsKey(node)) {
                out.remove(node);
                // the other process has just been told: later than it was is on the safe side
                change.made(node, false, time.unixMs());
            }
        }
    }

    /** Keeps what a call asks for; returns when, in milliseconds since 1970. If it fails nothing holds. */
    long keep(String node, boolean leaveOut) throws IOException {
        if (folder != null && leaveOut) {
            make(file(OUT, node));
        } else if (folder != null && Files.exists(file(OUT, node))) {
            Files.deleteIfExists(file(BACK, node));
            make(file(BACK, node)); // first, so that the return is not missed by one that starts
            // just now
            Files.deleteIfExists(file(OUT, node));
        }
        if (leaveOut) {
            out.add(node);
        } else {
            out.remove(node);
        }
        return time.unixMs();
    }

    private static void make(Path file) throws IOException {
        try {
            Files.createFile(file);
        } catch (FileAlreadyExistsException e) {
            // the call has been made before
        }
    }

    private Path file(String kind, String node) {
        return folder.resolve(kind + URLEncoder.encode(node, StandardCharsets.UTF_8));
    }

    /** Nodes of that kind and when their files were made. */
    private Map<String, Long> files(String kind) throws IOException {
        Map<String, Long> found = new HashMap<>();
        if (folder == null) {
            out.forEach(node -> found.put(node, 0L));
            return found;
        }
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, kind + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString().substring(kind.length());
                try {
                    found.put(
                            URLDecoder.decode(name, StandardCharsets.UTF_8),
                            Files.getLastModifiedTime(file).toMillis());
                } catch (java.nio.file.NoSuchFileException e) {
                    // taken away between the two looks
                } catch (IllegalArgumentException e) {
                    throw new IOException("no name of a node: " + Config.shown(name));
                }
            }
        } catch (java.nio.file.DirectoryIteratorException e) {
            throw e.getCause();
        }
        return found;
    }
}
