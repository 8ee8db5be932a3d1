package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class NettyLogTest {

    @Test
    void argumentsReplacePlaceholdersAndAnUnusedThrowableIsTheCause() {
        Exception cause = new IllegalStateException("closed");
        assertEquals(
                "a 1 b null c: java.lang.IllegalStateException: closed",
                NettyLog.text("a {} b {} c", 1, null, cause));
        assertEquals("a java.lang.IllegalStateException: closed", NettyLog.text("a {}", cause));
        assertEquals("a 1 {}", NettyLog.text("a {} {}", 1));
        assertEquals("no $1 \\ {", NettyLog.text("no $1 \\ {", "unused"));
    }
}
