package holdproxy.consensus;

import java.io.IOException;

/** The file of a voter: appended to, and now and then replaced as a whole. */
public interface Disk {
    /** Returns the whole content; empty if it has never been written. */
    byte[] read() throws IOException;

    /** Appends bytes, which are durable only after {@link #force}. */
    void append(byte[] bytes) throws IOException;

    /** Makes all appended bytes durable before it returns. */
    void force() throws IOException;

    /** Replaces the content durably and atomically; if it fails, the old content remains. */
    void replace(byte[] bytes) throws IOException;
}
