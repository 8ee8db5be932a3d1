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
 * Stores which cache nodes operators have left out, for the next process and for the other process while two
 * run. An empty file marks a node that is left out, another one a node that is used again; its modification
 * time tells since when. A file exists or does not, so that no partial write can be read and two processes
 * need no lock. Not thread-safe.
 */
final class KeptOut {
    /** How long the file of a returned node is of use: by then the node is warm for certain. */
    private static final long RETURNS_FOR_MS = 600_000;

    private static final String OUT = "out-";
    private static final String BACK = "back-";

    /** Receives an operator's change, with its time in milliseconds since 1970. */
    interface Change {
        void made(String node, boolean out, long atUnixMs);
    }

    /** Null: nothing is stored beyond this process. */
    private final Path folder;

    private final Time time;
    private final Set<String> out = new HashSet<>();

    /** {@code folder} is created if it does not exist; null: nothing is stored beyond this process. */
    KeptOut(Path folder, Time time) throws IOException {
        this.folder = folder == null ? null : Files.createDirectories(folder);
        this.time = time;
    }

    /** Reports all that is stored, at the start of a process: nodes left out and recent returns. */
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

    /** Reports what another process has stored since the last call. On failure the state is unchanged. */
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
                // the return was stored just now; a time after the real one is on the safe side
                change.made(node, false, time.unixMs());
            }
        }
    }

    /** Stores a change; returns its time in milliseconds since 1970. On failure nothing has changed. */
    long keep(String node, boolean leaveOut) throws IOException {
        if (folder != null && leaveOut) {
            make(file(OUT, node));
        } else if (folder != null && Files.exists(file(OUT, node))) {
            Files.deleteIfExists(file(BACK, node));
            // before the deletion: a process that starts at this moment must not miss the return
            make(file(BACK, node));
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
            // already stored by an earlier call
        }
    }

    private Path file(String kind, String node) {
        return folder.resolve(kind + URLEncoder.encode(node, StandardCharsets.UTF_8));
    }

    /** The nodes that have a file of this kind, with the modification times of the files. */
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
                    // deleted since the folder was listed
                } catch (IllegalArgumentException e) {
                    throw new IOException("not an encoded node name: " + Config.shown(name));
                }
            }
        } catch (java.nio.file.DirectoryIteratorException e) {
            throw e.getCause();
        }
        return found;
    }
}
