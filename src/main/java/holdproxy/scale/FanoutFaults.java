package holdproxy.scale;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Injects faults into the fan-out one after another while changes are committed; each ends before the next.
 */
final class FanoutFaults {
    private static final double CHANGE_INTERVAL_S = 0.5;
    private static final double BEFORE_FAULT_S = 2;
    private static final double STOPPED_S = 10;

    private final MeasureSpec spec;
    private final RunContext context;
    private final Findings findings;
    private final HollowFanout fanout;
    private final int size;
    private ChildProcess stoppedProcess;

    FanoutFaults(MeasureSpec spec, RunContext context, Findings findings, HollowFanout fanout) {
        this.spec = spec;
        this.context = context;
        this.findings = findings;
        this.fanout = fanout;
        size = fanout.topology.proxies();
    }

    void injectAll() throws Exception {
        for (FanoutFault fault : spec.faults()) {
            switch (fault) {
                case RELAY_KILLED -> killRelay();
                case RELAY_STOPPED -> runPhase(fault, () -> stop(fanout.firstRelay()), STOPPED_S);
                case SLOW_READER -> runPhase(fault, () -> stop(fanout.slow()), STOPPED_S);
                case ZONE_RESTARTED -> runPhase(fault, this::restartZone, spec.seconds());
                default -> runPhase(fault, () -> fanout.restart(0, size), spec.seconds());
            }
        }
    }

    private void killRelay() throws Exception {
        runPhase(FanoutFault.RELAY_KILLED, () -> fanout.firstRelay().kill(), spec.seconds());
        fanout.startFirstRelay();
    }

    private interface Action {
        void run() throws Exception;
    }

    /** Commits changes before, during and after a fault; a stopped process is resumed at its end. */
    private void runPhase(FanoutFault fault, Action action, double seconds) throws Exception {
        String name = fault.description;
        context.logProgress("%d proxies: %s", size, name);
        fanout.latencies(fanout.proxies());
        commitFor(BEFORE_FAULT_S);
        long startNs = System.nanoTime();
        action.run();
        commitFor(seconds);
        boolean slow = fault == FanoutFault.SLOW_READER;
        if (slow) {
            measureOthers(startNs);
        }
        resume();
        long number = fanout.commit();
        double backS =
                context.await("all hold the last change after " + name, () -> fanout.allAt(number));
        context.logProgress("all hold the last change %.2f s after the end of: %s", backS, name);
        FanoutByProxies.addLatencies(
                findings,
                "with " + name,
                size,
                fanout.latencies(slow ? List.of(fanout.slow()) : fanout.proxies()));
        FanoutByProxies.checkDelivery(findings, "with " + name, size, number, fanout);
    }

    /** Measures that the other proxies are not delayed by those that read nothing. */
    private void measureOthers(long startNs) throws InterruptedException {
        long number = fanout.commit();
        double seconds =
                context.await("all others hold the last change", () -> fanout.othersAt(number));
        context.logProgress(
                "the others hold it %.2f s after the commit, %.1f s after the stop",
                seconds, RunContext.secondsSince(startNs));
        FanoutByProxies.addLatencies(
                findings,
                "others beside a slow reader",
                size,
                fanout.latencies(fanout.otherProxies()));
    }

    private void commitFor(double seconds) throws InterruptedException {
        long startNs = System.nanoTime();
        do {
            fanout.commit();
            RunContext.pause(CHANGE_INTERVAL_S);
        } while (RunContext.secondsSince(startNs) < seconds);
    }

    private void restartZone() {
        fanout.restart(0, FanoutTopology.PROXIES_PER_ZONE);
    }

    private void stop(ChildProcess child) throws Exception {
        stoppedProcess = child;
        signal(child, "STOP");
    }

    private void resume() throws Exception {
        if (stoppedProcess != null) {
            signal(stoppedProcess, "CONT");
            stoppedProcess = null;
        }
    }

    /** Sends a signal with the program {@code kill}; Java has no API for SIGSTOP and SIGCONT. */
    private static void signal(ChildProcess child, String signal) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(child.pid())).start();
        if (!kill.waitFor(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the program kill did not exit within 10 s");
        }
    }
}
