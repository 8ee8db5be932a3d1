package holdproxy.consensus;

import java.io.IOException;

/** The one file of a voter: it grows at its end, and is now and then replaced as a whole. */
public interface Disk {
    /** All that it holds; empty where it has never been written. */
    byte[] read() throws IOException;

    /** Adds to its end; not safe before {@link #force}. */
    void append(byte[] bytes) throws IOException;

    /** What was added is safe once this returns. */
    void force() throws IOException;

    /** From now on it holds this, safely, or, where it fails, what it held before. */
    void replace(byte[] bytes) throws IOException;
}
