package holdproxy.net;

import java.util.ArrayDeque;

/**
 * Shares the event loop between client connections that send more than the loop handles at once. Such a
 * connection is not read while it waits here; a bounded number of them have their next turn in each
 * iteration of the loop, in order of arrival, so that every other socket is read in between.
 */
final class InputScheduler {
    /** Turns in one iteration of the loop. */
    private static final int TURNS_PER_ITERATION = 4;

    /** A connection whose input is decoded in turns; each of its turns handles a bounded amount. */
    interface Connection {
        /** Handles the next part of the input; adds itself again if that is not all of it. */
        void resume();
    }

    private final Transport transport;
    private final ArrayDeque<Connection> waiting = new ArrayDeque<>();
    private boolean scheduled;

    InputScheduler(Transport transport) {
        this.transport = transport;
    }

    /** Queues a connection for its next turn, in a later iteration of the loop. */
    void add(Connection connection) {
        waiting.add(connection);
        schedule();
    }

    /** Forgets a connection that has closed or whose input is discarded. */
    void remove(Connection connection) {
        waiting.remove(connection);
    }

    /** Runs a task once every socket that is read has been read in a later iteration of the loop. */
    void afterNextReads(Runnable task) {
        transport.afterReads(task, true);
    }

    private void schedule() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            transport.afterReads(this::runTurns, true);
        }
    }

    private void runTurns() {
        int turns = Math.min(waiting.size(), TURNS_PER_ITERATION);
        for (int i = 0; i < turns && !waiting.isEmpty(); i++) {
            waiting.poll().resume();
        }
        scheduled = false;
        schedule();
    }
}
