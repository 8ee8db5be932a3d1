package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** An {@code mg} or {@code ms} command of a client: its attributes for the router, its bytes for a node. */
final class Command {
    private static final byte[] CRLF = {'\r', '\n'};
    private static final int MAX_KEY_LENGTH = 250;
    private static final int MAX_ID_LENGTH = 64;

    final boolean write;
    final String opaque;
    final String requestClass;
    final int tenant;
    final long key;

    /**
     * How long the client waits after sending, in milliseconds, or {@link #NOT_STATED}. 0 is a time that has
     * already passed: treated as not stated, it would hold the request for a client that leaves at once.
     */
    final int waitMs;

    final double costUs;
    final double sizeBytes;
    final boolean repeat;
    static final int NOT_STATED = -1;
    private final String beforeWait;
    private final String afterWait;
    private byte[] value;

    /** Thrown for a malformed command; the message is sent to the client. */
    static final class MalformedCommandException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedCommandException(String message) {
            super(message, null, false, false);
        }
    }

    /** Indexes of the settings' classes and tenants by name; replaced whenever the settings change. */
    record Names(Map<String, Integer> classes, Map<String, Integer> tenants) {
        Names() {
            this(new HashMap<>(), new HashMap<>());
        }

        void set(Router.Settings settings) {
            classes.clear();
            for (int i = 0; i < settings.classes.length; i++) {
                classes.put(settings.classes[i].name, i);
            }
            tenants.clear();
            for (int i = 0; i < settings.tenants.length; i++) {
                if (!settings.tenants[i].name.isEmpty()) {
                    tenants.put(settings.tenants[i].name, i);
                }
            }
        }
    }

    Command(String line, String[] tokens, boolean write, Names names)
            throws MalformedCommandException {
        this.write = write;
        String keyText = tokens[1];
        if (keyText.isEmpty() || keyText.length() > MAX_KEY_LENGTH) {
            throw new MalformedCommandException("bad key");
        }
        String id = null;
        String fields = null;
        for (int i = write ? 3 : 2; i < tokens.length; i++) {
            if (tokens[i].startsWith("O")) {
                id = tokens[i];
            } else if (tokens[i].startsWith("P")) {
                fields = tokens[i].substring(1);
            }
        }
        if (id == null || id.length() == 1 || id.length() > MAX_ID_LENGTH || fields == null) {
            throw new MalformedCommandException("O and P are needed");
        }
        opaque = id;
        key = numericKey(keyText);
        String type = "";
        int tenantIndex = names.tenants.isEmpty() ? 0 : -1;
        int wait = NOT_STATED;
        double hint = 0;
        double size = 0;
        boolean isRepeat = false;
        for (String field : fields.split(",")) {
            int eq = field.indexOf('=');
            String text = field.substring(eq + 1);
            switch (eq < 0 ? "" : field.substring(0, eq)) {
                case "c" -> type = text;
                case "t" -> tenantIndex = names.tenants.getOrDefault(text, tenantIndex);
                case "d" -> wait = MetaDecoder.parseNumber(text);
                case "h" -> hint = parseAmount(text);
                case "size" -> size = parseAmount(text);
                case "r" -> isRepeat = text.equals("1");
                default -> {} // forwarded without being interpreted
            }
        }
        if (!names.classes.containsKey(type) || tenantIndex < 0 || wait < NOT_STATED) {
            throw new MalformedCommandException("c, t or d is not known here");
        }
        requestClass = type;
        tenant = tenantIndex;
        waitMs = wait;
        costUs = hint;
        sizeBytes = size;
        repeat = isRepeat;
        int at = line.indexOf(" P" + fields) + 2;
        int d = fields.startsWith("d=") ? 2 : fields.indexOf(",d=") + 3;
        if (d < 3 && !fields.startsWith("d=")) {
            beforeWait = line;
            afterWait = null;
        } else {
            int end = fields.indexOf(',', d);
            beforeWait = line.substring(0, at + d);
            afterWait = line.substring(end < 0 ? at + fields.length() : at + end);
        }
    }

    void value(byte[] bytes) {
        value = bytes;
    }

    int valueBytes() {
        return value == null ? 0 : value.length;
    }

    private static double parseAmount(String text) throws MalformedCommandException {
        try {
            double v = Double.parseDouble(text);
            if (v >= 0 && v < 1e12) {
                return v;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new MalformedCommandException("bad figure in P");
    }

    /** The key as a number for the router. It is the same at every proxy, so that all pick the same nodes. */
    private static long numericKey(String text) {
        long number = 0;
        boolean hex = text.length() <= 16;
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            int digit = Character.digit(text.charAt(i), 16);
            hex &= digit >= 0;
            number = number << 4 | digit & 15;
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        long key = hex ? number : hash;
        return key != 0 ? key : 1; // 0 means no key
    }

    void fill(Router.Request q) {
        q.tenant = tenant;
        q.key = key;
        q.workUs = costUs;
        q.sizeBytes = sizeBytes;
        q.repeat = repeat;
        q.write = write;
    }

    /** Whether its value is sent to a node in slices after {@link #encode}. */
    boolean isLarge() {
        return valueBytes() > MetaDecoder.MAX_BUFFERED_VALUE_BYTES;
    }

    /** The next slice of the value, limited in size; the last one ends with CRLF. */
    ByteBuf slice(int from, int maxBytes) {
        int bytes = Math.min(maxBytes, value.length - from);
        ByteBuf slice = Unpooled.wrappedBuffer(value, from, bytes);
        boolean last = from + bytes == value.length;
        return last ? Unpooled.wrappedBuffer(slice, Unpooled.wrappedBuffer(CRLF)) : slice;
    }

    /** The command for a node, stating how long the proxy waits; includes the value unless it is large. */
    ByteBuf encode(ByteBufAllocator alloc, long waitUs) {
        String wait =
                afterWait == null ? "" : Long.toString(Math.max(1, waitUs / 1000)) + afterWait;
        boolean whole = value != null && !isLarge();
        ByteBuf out =
                alloc.buffer(beforeWait.length() + wait.length() + 4 + (whole ? value.length : 0));
        out.writeCharSequence(beforeWait, StandardCharsets.ISO_8859_1);
        out.writeCharSequence(wait, StandardCharsets.ISO_8859_1);
        out.writeBytes(CRLF);
        if (whole) {
            out.writeBytes(value).writeBytes(CRLF);
        }
        return out;
    }

    /** The memory for values that arrive in parts, shared by all clients. */
    record InputBudgets(ByteBudget smallValues, ByteBudget largeValues) {}

    /** Another part of a large value has arrived: the client is still sending. */
    static final Object VALUE_PART = new Object();

    /** A command whose value was discarded for lack of memory. */
    record ValueDropped(Command command) {}

    /** {@code mn}: a check that the proxy responds. */
    record Greeting() {}

    /** Error line for a protocol violation by a client; {@code close}: nothing after it can be decoded. */
    record Fault(String line, boolean close) {}

    /** A line that is no command. */
    static final Fault UNKNOWN_COMMAND = new Fault("ERROR", false);
}
