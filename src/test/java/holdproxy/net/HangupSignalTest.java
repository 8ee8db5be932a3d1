package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangupSignalTest {

    /** Unhandled, the signal would end the JVM of this test. */
    @Test
    void theSignalRunsTheAction() throws Exception {
        CountDownLatch handled = new CountDownLatch(1);
        assertEquals(Optional.empty(), HangupSignal.handle(handled::countDown));
        new ProcessBuilder("sh", "-c", "kill -HUP " + ProcessHandle.current().pid())
                .start()
                .waitFor();
        assertTrue(handled.await(20, TimeUnit.SECONDS));
    }
}
