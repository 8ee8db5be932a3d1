package holdproxy.net;

import holdproxy.input.SettingsReader;
import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A response from a cache node. */
final class NodeResponse {
    final Router.Outcome outcome;

    /** The opaque id that it echoes; null on an error line. */
    String opaque;

    String receipt;
    byte[] value;

    /** Length of a value that is too large to buffer and follows in pieces; 0 if there is none. */
    int streamedLength;

    Router.CacheNote note = Router.CacheNote.NONE;
    private String load;

    /** Set when the node violated the protocol: what it sends after this cannot be decoded. */
    boolean protocolError;

    /** Marks the end of a value that was delivered in pieces. */
    static final Object VALUE_END = new Object();

    private NodeResponse(Router.Outcome outcome) {
        this.outcome = outcome;
    }

    void report(Router.Report report) {
        report.clear();
        if (load == null) {
            return;
        }
        for (String field : load.split(",")) {
            int eq = field.indexOf('=');
            if (eq > 0) {
                try {
                    double value = Double.parseDouble(field.substring(eq + 1));
                    SettingsReader.setReportField(field.substring(0, eq), value, report);
                } catch (NumberFormatException e) {
                    // ignore a malformed load value
                }
            }
        }
    }

    /** Frees the value once it is encoded; what is reported to the router may wait for its delivery. */
    void discardValue() {
        value = null;
    }

    boolean isValue() {
        return value != null || streamedLength > 0;
    }

    /**
     * Encodes the response for the client. A value that follows in pieces is not included, nor are flags that
     * are meant for the proxy only.
     */
    ByteBuf encode(ByteBufAllocator alloc) {
        int length = value == null ? streamedLength : value.length;
        ByteBuf out =
                alloc.buffer(
                        opaque.length()
                                + 32
                                + (value == null ? 0 : length)
                                + (receipt == null ? 0 : receipt.length()));
        String line =
                isValue()
                        ? "VA " + length + " " + opaque
                        : receipt != null ? "HD " + opaque + " " + receipt : "HD " + opaque;
        out.writeCharSequence(line + "\r\n", StandardCharsets.ISO_8859_1);
        if (value != null) {
            out.writeBytes(value).writeByte('\r').writeByte('\n');
        }
        return out;
    }

    static final class Decoder extends MetaDecoder {
        private final ByteBudget budget;
        private NodeResponse pending;

        /** {@code budget}: the memory, shared by all connections, for values that arrive in parts. */
        Decoder(ByteBudget budget) {
            this.budget = budget;
        }

        @Override
        int onLine(String line, List<Object> out) {
            String[] tokens = line.split(" ");
            switch (tokens.length == 0 ? "" : tokens[0]) {
                case "VA" -> {
                    pending = new NodeResponse(Router.Outcome.OK);
                    parseFlags(pending, tokens, 2);
                    int length = tokens.length < 2 ? -2 : parseNumber(tokens[1]);
                    if (passesOn(length)) {
                        pending.streamedLength = length;
                        out.add(pending);
                        pending = null;
                    }
                    return length;
                }
                case "HD" -> {
                    NodeResponse a = new NodeResponse(Router.Outcome.OK);
                    parseFlags(a, tokens, 1);
                    out.add(a);
                }
                case "SERVER_ERROR" -> {
                    boolean busy = tokens.length > 1 && tokens[1].equals("busy");
                    NodeResponse a =
                            new NodeResponse(
                                    busy ? Router.Outcome.OVERLOADED : Router.Outcome.ERROR);
                    parseFlags(a, tokens, 2);
                    a.opaque = null;
                    out.add(a);
                }
                default -> onProtocolError(line, out);
            }
            return NO_BLOCK;
        }

        private static void parseFlags(NodeResponse a, String[] tokens, int from) {
            boolean fetching = false;
            for (int i = from; i < tokens.length; i++) {
                String t = tokens[i];
                switch (t.isEmpty() ? ' ' : t.charAt(0)) {
                    case 'O' -> a.opaque = t;
                    case 'c' -> a.receipt = t;
                    case 'h' ->
                            a.note = t.equals("h1") ? Router.CacheNote.HIT : Router.CacheNote.MISS;
                    case 'Z' -> fetching = true;
                    case 'L' -> a.load = t.substring(1);
                    default -> {} // ignore unknown flags
                }
            }
            if (fetching && a.note == Router.CacheNote.MISS) {
                a.note = Router.CacheNote.MISS_FETCHING;
            }
        }

        @Override
        void onBlock(byte[] value, List<Object> out) {
            pending.value = value;
            out.add(pending);
            pending = null;
        }

        @Override
        ByteBudget budgetFor(int length) {
            return budget;
        }

        /** For want of memory the value cannot be passed on, which counts as a failure of the node. */
        @Override
        void onBlockDropped(List<Object> out) {
            pending = null;
            out.add(new NodeResponse(Router.Outcome.ERROR));
        }

        @Override
        boolean passesOn(int length) {
            return length > MAX_BUFFERED_VALUE_BYTES && length <= MAX_VALUE_BYTES;
        }

        @Override
        void onPiece(ByteBuf in, int bytes, List<Object> out) {
            out.add(in.readRetainedSlice(bytes));
        }

        @Override
        void onPiecesEnd(List<Object> out) {
            out.add(VALUE_END);
        }

        @Override
        void onProtocolError(String why, List<Object> out) {
            NodeResponse a = new NodeResponse(Router.Outcome.ERROR);
            a.protocolError = true;
            a.receipt = why;
            out.add(a);
        }
    }
}
