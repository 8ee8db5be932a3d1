package holdproxy.fanout;

import java.util.Map;
import java.util.Set;

/** Upper bounds of encoded sizes: within the limits, the header of a CBOR item has at most five bytes. */
final class SizeEstimate {
    private static final int ITEM_HEADER = 5;
    private static final int CHANGE_HEADERS = 32;

    private SizeEstimate() {}

    static int ofChange(Map<String, Value> puts, Set<String> deletes) {
        int size = CHANGE_HEADERS + ofEntries(puts);
        for (String key : deletes) {
            size += ofKey(key);
        }
        return size;
    }

    static int ofEntries(Map<String, Value> entries) {
        int size = 0;
        for (Map.Entry<String, Value> entry : entries.entrySet()) {
            size += ofEntry(entry.getKey(), entry.getValue());
        }
        return size;
    }

    static int ofEntry(String key, Value value) {
        return ofKey(key) + ITEM_HEADER + value.size();
    }

    static int ofKey(String key) {
        return ITEM_HEADER + utf8Length(key);
    }

    /** Computed without encoding; each half of a surrogate pair counts as two of its four bytes. */
    static int utf8Length(String text) {
        int length = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < 0x80) {
                length += 1;
            } else if (c < 0x800 || Character.isSurrogate(c)) {
                length += 2;
            } else {
                length += 3;
            }
        }
        return length;
    }
}
