package holdproxy.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.fanout.CoverageReport.PositionCount;
import holdproxy.fanout.ProtocolException.Kind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class MessageCodecTest {
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();
    private static final MessageCodec CODEC = new MessageCodec(FanoutSettings.DEFAULTS.limits());
    private static final Position AT = new Position(3, 7);

    private static SortedMap<String, Value> entries(String... keysAndValues) {
        TreeMap<String, Value> entries = new TreeMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            entries.put(keysAndValues[i], Value.of(keysAndValues[i + 1]));
        }
        return entries;
    }

    static List<Message> messages() {
        Change first =
                new Change(
                        AT.next(), entries("a", "1", "größe", ""), new TreeSet<>(List.of("old")));
        Change second = new Change(AT.plus(2), entries(), new TreeSet<>());
        Rejection rejection = new Rejection("proxy-9", AT, "no such tenant");
        return List.of(
                new Message.Subscribe("proxy-1", Position.NONE),
                new Message.Batch(AT, List.of(first, second)),
                new Message.SnapshotPart(AT, 1, 2, entries("k", "v")),
                new Message.Acknowledge(
                        AT,
                        Position.NONE,
                        0,
                        new CoverageReport(
                                2, List.of(new PositionCount(AT, 2)), 1, List.of(rejection))),
                new Message.Heartbeat(AT, Relay.Source.UNKNOWN_AGE_US),
                new Message.Refuse(Message.Refuse.Reason.BEHIND, "epoch 3", 500_000));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void encodingAndDecodingRoundTrips(Message message) {
        assertEquals(message, CODEC.decode(CODEC.encode(message)));
    }

    @Test
    void aHeartbeatIsSmallAndSizesAreUpperBounds() {
        assertTrue(
                CODEC.encode(new Message.Heartbeat(new Position(1_800_000_000, 1_000_000), 400_000))
                                .length
                        < 24);
        Message.Batch batch = (Message.Batch) messages().get(1);
        int bound = batch.changes().stream().mapToInt(Change::sizeBytes).sum();
        assertTrue(CODEC.encode(batch).length <= bound + 64, "bound " + bound);
    }

    static Stream<Arguments> badFrames() throws IOException {
        List<Object> longKey = List.of("k".repeat(257), new byte[1]);
        byte[] twoMessages = Arrays.copyOf(CODEC.encode(messages().get(0)), 64);
        return Stream.of(
                Arguments.of(new byte[0], Kind.MALFORMED, "does not begin with a list"),
                Arguments.of(new byte[] {(byte) 0x9f, 1}, Kind.MALFORMED, "not a CBOR list"),
                Arguments.of(twoMessages, Kind.MALFORMED, "further bytes after its message"),
                Arguments.of(new byte[2 << 20], Kind.TOO_LARGE, "a frame of 2097152 bytes"),
                Arguments.of(
                        CBOR.asBytes(List.of(2, 5, 1, 1, 1)),
                        Kind.FOREIGN_VERSION,
                        "protocol version 2"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 77)),
                        Kind.UNKNOWN_MESSAGE,
                        "unknown message kind 77"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 5, 1, 1, 1, "x")),
                        Kind.UNKNOWN_FIELD,
                        "unknown field 3"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 5, 1, 1)), Kind.MALFORMED, "ends after 2 fields"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 5, 1, "x", 1)),
                        Kind.MALFORMED,
                        "a String instead of an integer"),
                Arguments.of(CBOR.asBytes(List.of(1, 5, 1, -1, 1)), Kind.MALFORMED, "negative"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 2, 1, 1, List.of())),
                        Kind.MALFORMED,
                        "at least one change"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 3, 1, 1, 2, 2, List.of())),
                        Kind.MALFORMED,
                        "no part 2"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 3, 1, 1, 0, 1, longKey)),
                        Kind.TOO_LARGE,
                        "of length 257"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 3, 1, 1, 0, 1, List.of("k", new byte[65_537]))),
                        Kind.TOO_LARGE,
                        "value of k"),
                Arguments.of(
                        CBOR.asBytes(List.of(1, 2, 1, 1, Collections.nCopies(4_097, 0))),
                        Kind.TOO_LARGE,
                        "4097"));
    }

    @ParameterizedTest
    @MethodSource("badFrames")
    void aBadFrameIsRejectedWithKindAndReason(byte[] frame, Kind kind, String expectedText) {
        ProtocolException failure =
                assertThrows(ProtocolException.class, () -> CODEC.decode(frame));
        assertEquals(kind, failure.kind(), failure.getMessage());
        assertTrue(failure.getMessage().contains(expectedText), failure.getMessage());
    }

    /** Any byte sequence decodes to a message or fails with a {@link ProtocolException}. */
    @Test
    void damagedFramesFailOnlyWithProtocolExceptions() {
        for (Message message : messages()) {
            byte[] whole = CODEC.encode(message);
            List<byte[]> damaged = new ArrayList<>();
            for (int i = 0; i < whole.length; i++) {
                damaged.add(Arrays.copyOf(whole, i));
                for (int bit = 0; bit < 8; bit++) {
                    byte[] flipped = whole.clone();
                    flipped[i] ^= (byte) (1 << bit);
                    damaged.add(flipped);
                }
            }
            for (byte[] frame : damaged) {
                try {
                    CODEC.decode(frame);
                } catch (ProtocolException e) {
                    assertTrue(e.getMessage().startsWith(e.kind() + ": "));
                }
            }
        }
    }
}
