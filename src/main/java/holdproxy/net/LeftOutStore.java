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
final class LeftOutStore {
    /** How long the file of a returned node is of use: by then the node is warm for certain. */
    private static final long RETURN_RETENTION_MS = 600_000;

    private static final String OUT = "out-";
    private static final String BACK = "back-";

    /** Receives an operator's change, with its time in milliseconds since 1970. */
    interface ChangeListener {
        void onChange(String node, boolean out, long atUnixMs);
    }

    /** Null: nothing is stored beyond this process. */
    private final Path folder;

    private final Clock time;
    private final Set<String> leftOut = new HashSet<>();

    /** {@code folder} is created if it does not exist; null: nothing is stored beyond this process. */
    LeftOutStore(Path folder, Clock time) throws IOException {
        this.folder = folder == null ? null : Files.createDirectories(folder);
        this.time = time;
    }

    /** Reports all that is stored, at the start of a process: nodes left out and recent returns. */
    void loadAll(ChangeListener listener) throws IOException {
        Map<String, Long> returned = new HashMap<>();
        for (Map.Entry<String, Long> e : files(OUT).entrySet()) {
            leftOut.add(e.getKey());
            listener.onChange(e.getKey(), true, e.getValue());
        }
        for (Map.Entry<String, Long> e : files(BACK).entrySet()) {
            if (time.unixMs() - e.getValue() > RETURN_RETENTION_MS) {
                Files.deleteIfExists(file(BACK, e.getKey()));
            } else if (!leftOut.contains(e.getKey())) {
                returned.put(e.getKey(), e.getValue());
            }
        }
        returned.forEach((node, at) -> listener.onChange(node, false, at));
    }

    /** Reports what another process has stored since the last call. On failure the state is unchanged. */
    void pollChanges(ChangeListener listener) throws IOException {
        Map<String, Long> stored = files(OUT);
        for (Map.Entry<String, Long> e : stored.entrySet()) {
            if (leftOut.add(e.getKey())) {
                listener.onChange(e.getKey(), true, e.getValue());
            }
        }
        for (String node : Set.copyOf(leftOut)) {
            if (!stored.containsKey(node)) {
                leftOut.remove(node);
                // the return was stored just now; a time after the real one is on the safe side
                listener.onChange(node, false, time.unixMs());
            }
        }
    }

    /** Stores a change; returns its time in milliseconds since 1970. On failure nothing has changed. */
    long store(String node, boolean leaveOut) throws IOException {
        if (folder != null && leaveOut) {
            createIfAbsent(file(OUT, node));
        } else if (folder != null && Files.exists(file(OUT, node))) {
            Files.deleteIfExists(file(BACK, node));
            // before the deletion: a process that starts at this moment must not miss the return
            createIfAbsent(file(BACK, node));
            Files.deleteIfExists(file(OUT, node));
        }
        if (leaveOut) {
            leftOut.add(node);
        } else {
            leftOut.remove(node);
        }
        return time.unixMs();
    }

    private static void createIfAbsent(Path file) throws IOException {
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
            leftOut.forEach(node -> found.put(node, 0L));
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
                    throw new IOException("not an encoded node name: " + Config.printable(name));
                }
            }
        } catch (java.nio.file.DirectoryIteratorException e) {
            throw e.getCause();
        }
        return found;
    }
}
