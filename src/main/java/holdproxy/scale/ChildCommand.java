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
 * Base of the child processes of a run: has an event loop, and answers each command line on standard input
 * with one JSON object on standard output. The process exits at the end of its input.
 */
abstract class ChildCommand implements Callable<Integer> {
    private static final double BYTES_PER_MB = 1 << 20;

    final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

    /** Opens sockets and schedules the start; called on the event loop. */
    abstract void start() throws Exception;

    /** Executes a command, split at its blanks, and fills in the answer; called on the event loop. */
    abstract void handle(String[] words, Map<String, Object> answer) throws Exception;

    @Override
    public final Integer call() throws Exception {
        loop.submit(
                        () -> {
                            start();
                            return null;
                        })
                .get();
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            System.out.println(JSON.std.asString(answer(line)));
        }
        Runtime.getRuntime().halt(0); // skips closing thousands of connections one by one
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

    static IOException unknownCommand(String[] words) {
        return new IOException("unknown command: " + String.join(" ", words));
    }
}
