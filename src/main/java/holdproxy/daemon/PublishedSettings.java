package holdproxy.daemon;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import holdproxy.toml.TomlSection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Settings that operators publish to a whole fleet. Each top-level section of {@code [settings]} is one key
 * of the distributed state, with a JSON text as its value. Published values override those in a process's own
 * file.
 */
final class PublishedSettings {
    /** Key prefix of published settings; other keys of the state have other users. */
    static final String PREFIX = "settings/";

    /** Maximum size in bytes of a file to publish. */
    private static final int MAX_FILE_BYTES = 64 << 10;

    private PublishedSettings() {}

    static boolean isSettingKey(String key) {
        return key.startsWith(PREFIX);
    }

    /** Applies published settings over {@code own}: tables are merged key by key, lists are replaced. */
    static Map<String, Object> overlay(Map<String, Object> own, Map<String, byte[]> published) {
        Map<String, Object> all = new HashMap<>(own);
        published.forEach(
                (key, value) -> {
                    if (isSettingKey(key)) {
                        all.merge(
                                key.substring(PREFIX.length()),
                                value(key, value),
                                PublishedSettings::overlay);
                    }
                });
        return all;
    }

    private static Object overlay(Object own, Object published) {
        if (!(own instanceof Map<?, ?> below) || !(published instanceof Map<?, ?> above)) {
            return published;
        }
        Map<Object, Object> merged = new HashMap<>(below);
        above.forEach((key, value) -> merged.merge(key, value, PublishedSettings::overlay));
        return merged;
    }

    /** The failure's message, prefixed with the published key if the invalid value came from one. */
    static String messageWithKey(Map<String, byte[]> published, BadInput failure) {
        String path = failure.path() == null ? "" : failure.path();
        String key = PREFIX + path.split("\\.", 2)[0];
        return published.containsKey(key)
                ? key + ": " + failure.getMessage()
                : failure.getMessage();
    }

    private static Object value(String key, byte[] value) {
        try {
            Object read = JSON.std.anyFrom(value);
            if (read != null) {
                return read;
            }
        } catch (IOException e) {
            // reported below
        }
        throw new BadInput(key + " is no JSON value");
    }

    /**
     * Reads the change to publish from a file: the value of each section below {@code [settings]}, and null
     * for each section listed in {@code remove}, for which processes use their own files again.
     */
    static Map<String, byte[]> read(Path file) {
        String text;
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new BadInput(
                        "the file " + file + " has more than " + MAX_FILE_BYTES + " bytes");
            }
            text = Files.readString(file);
        } catch (IOException e) {
            throw new BadInput(
                    "the file " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
        TomlSection top = TomlSection.parse(file.toString(), "the change", text);
        Map<String, byte[]> change = new LinkedHashMap<>();
        top.map("settings").forEach((section, value) -> change.put(PREFIX + section, json(value)));
        for (String section : top.strings("remove", DaemonFile::name)) {
            if (change.containsKey(PREFIX + section)) {
                throw top.error(
                        top.positionOf("remove"), section + " cannot be both set and removed");
            }
            change.put(PREFIX + section, null);
        }
        top.rejectUnknownKeys();
        if (change.isEmpty()) {
            throw top.error(
                    null,
                    "there is nothing to publish: no section below [settings], and no remove");
        }
        return change;
    }

    private static byte[] json(Object value) {
        try {
            return JSON.std.asString(value).getBytes(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot serialize a value to JSON", e);
        }
    }
}
