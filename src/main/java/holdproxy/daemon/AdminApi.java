package holdproxy.daemon;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * What operators' commands and control machines say to each other: JSON over HTTP. {@code POST /v1/changes}
 * with a {@link PublishRequest} gives a {@link Published} or a {@link Failure}, {@code GET /v1/versions} a
 * {@link Versions}.
 */
final class AdminApi {
    static final String CHANGES_PATH = "/v1/changes";
    static final String VERSIONS_PATH = "/v1/versions";

    /** Bytes of the longest request. */
    static final int LONGEST_REQUEST = 128 << 10;

    private AdminApi() {}

    /**
     * Appends a change to the log.
     *
     * @param id the same for each attempt at one change, which is then appended once
     * @param put values by key, as texts
     * @param remove keys that are removed
     */
    record PublishRequest(String id, Map<String, String> put, List<String> remove) {}

    /**
     * A change is in the log.
     *
     * @param epoch of the log
     * @param number of the change in it
     */
    record Published(long epoch, long number) {}

    /**
     * A change is not in the log, as far as is known.
     *
     * @param error in one line
     * @param retry whether the same request may succeed later, or at another control machine
     */
    record Failure(String error, boolean retry) {}

    /**
     * How far a control machine and what is below it are.
     *
     * @param name of the control machine
     * @param epoch of its log, 0 where it has none yet
     * @param number of the last change
     * @param publisher holder of the publisher's lease, empty where there is none
     * @param ageMs for how long it has not known that this is the newest there is, -1 where it never knew
     * @param subscribers that it serves
     * @param catchingUp of them, those that are behind
     * @param proxies below it, itself included
     * @param inForce how many of them have which version in force, newest first
     * @param rejecting how many of them reject the state that they received last
     * @param rejections the first of them by name
     */
    record Versions(
            String name,
            long epoch,
            long number,
            String publisher,
            long ageMs,
            int subscribers,
            int catchingUp,
            long proxies,
            List<VersionCount> inForce,
            long rejecting,
            List<RejectionView> rejections) {}

    /** So many proxies have this version in force. */
    record VersionCount(long epoch, long number, long proxies) {}

    /** A proxy does not put a version into force, and why. */
    record RejectionView(String name, long epoch, long number, String reason) {}

    static byte[] bytes(Object value) {
        try {
            return JSON.std.asString(value).getBytes(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("a value cannot be written", e);
        }
    }

    /** Reads one of the records; a {@link BadInput} where it is none. */
    static <T> T read(Class<T> type, byte[] json) {
        try {
            return JSON.std.beanFrom(type, json);
        } catch (IOException e) {
            throw new BadInput(
                    "this is no "
                            + type.getSimpleName()
                            + ": "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
    }
}
