package holdproxy.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;
import java.util.function.Predicate;

/** Runs many scenarios in parallel on all cores but one. */
final class ParallelRuns {
    private ParallelRuns() {}

    /**
     * The results of {@code play} for each scenario, in order; stops early when {@code go} returns false.
     */
    static <T> List<T> all(List<Scenario> scenarios, Function<Scenario, T> play, Predicate<T> go)
            throws InterruptedException, ExecutionException {
        int cores = Math.max(1, Runtime.getRuntime().availableProcessors() - 1);
        ExecutorService threads = Executors.newFixedThreadPool(cores);
        try {
            List<Future<T>> running = new ArrayList<>();
            scenarios.forEach(s -> running.add(threads.submit(() -> play.apply(s))));
            List<T> done = new ArrayList<>();
            for (Future<T> one : running) {
                done.add(one.get());
                if (!go.test(one.get())) {
                    break;
                }
            }
            return done;
        } finally {
            threads.shutdownNow();
        }
    }
}
