package holdproxy.daemon;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * The admin API of a control machine: JSON over HTTP. {@code POST /v1/changes} with a {@link PublishRequest}
 * returns a {@link Published} or a {@link Failure}; {@code GET /v1/versions} returns a {@link Versions}.
 */
final class AdminApi {
    static final String CHANGES_PATH = "/v1/changes";
    static final String VERSIONS_PATH = "/v1/versions";

    /** Maximum size of a request body in bytes. */
    static final int MAX_REQUEST_BYTES = 128 << 10;

    private AdminApi() {}

    /**
     * A request to append a change to the log.
     *
     * @param id identifies the change; a retry with the same id is appended only once
     * @param put the values to set, by key
     * @param remove the keys to remove
     */
    record PublishRequest(String id, Map<String, String> put, List<String> remove) {}

    /**
     * The change was appended to the log.
     *
     * @param epoch the log's epoch
     * @param number the number of the change in that epoch
     */
    record Published(long epoch, long number) {}

    /**
     * The change was not appended, or the outcome is unknown.
     *
     * @param error a one-line description
     * @param retry whether the same request may succeed later or on another control machine
     */
    record Failure(String error, boolean retry) {}

    /**
     * The versions that a control machine and the proxies below it have.
     *
     * @param name the control machine's name
     * @param epoch the epoch of its log, 0 if there is none yet
     * @param number the number of the last change
     * @param publisher the holder of the publisher lease, empty if there is none
     * @param ageMs time since this version was last known to be the newest, -1 if it never was
     * @param subscribers the number of subscribers it serves
     * @param catchingUp how many of these are behind
     * @param proxies the number of proxies below it, including itself
     * @param inForce the number of proxies by version in force, newest first
     * @param rejecting how many proxies rejected the last state they received
     * @param rejections the first of these, sorted by name
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

    /** The number of proxies that have a version in force. */
    record VersionCount(long epoch, long number, long proxies) {}

    /** A proxy that rejected a version, with the reason. */
    record RejectionView(String name, long epoch, long number, String reason) {}

    static byte[] toJson(Object value) {
        try {
            return JSON.std.asString(value).getBytes(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot serialize a value to JSON", e);
        }
    }

    /** Parses one of the records; throws {@link BadInput} if the JSON does not match it. */
    static <T> T fromJson(Class<T> type, byte[] json) {
        try {
            return JSON.std.beanFrom(type, json);
        } catch (IOException e) {
            throw new BadInput(
                    "not a valid "
                            + type.getSimpleName()
                            + ": "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
    }
}
