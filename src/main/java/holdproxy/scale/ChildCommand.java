package holdproxy.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;

/**
 * What the processes of a run have in common: an event loop, and an answer of one JSON object to each line of
 * standard input, until that ends.
 */
abstract class ChildCommand implements Callable<Integer> {
    private static final double BYTES_PER_MB = 1 << 20;

    final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

    /** Opens what it needs; on the event loop. */
    abstract void begin() throws Exception;

    /** Does what a line says, split at its blanks, and puts the answer together; on the event loop. */
    abstract void handle(String[] words, Map<String, Object> answer) throws Exception;

    @Override
    public final Integer call() throws Exception {
        loop.submit(
                        () -> {
                            begin();
                            return null;
                        })
                .get();
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            System.out.println(JSON.std.asString(answer(line)));
        }
        Runtime.getRuntime().halt(0); // thousands of connections are not worth closing one by one
        return 0;
    }

    private Map<String, Object> answer(String line) throws Exception {
        Map<String, Object> answer = new LinkedHashMap<>();
        if (line.equals("heap")) {
            System.gc();
            answer.put(
                    "heap_mb",
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()
                            / BYTES_PER_MB);
        } else {
            loop.submit(
                            () -> {
                                handle(line.split(" "), answer);
                                return null;
                            })
                    .get();
        }
        return answer;
    }

    static IOException unknown(String[] words) {
        return new IOException("no such command: " + String.join(" ", words));
    }
}
