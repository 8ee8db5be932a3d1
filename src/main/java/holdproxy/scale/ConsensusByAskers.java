package holdproxy.scale;

import holdproxy.harness.DaemonFormat;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Measures the cost of the consensus group's leader by the number of processes that ask it for a lease. */
final class ConsensusByAskers implements Measurement {
    private static final String MECHANISM = "Raft group with leases; every process asks";
    private static final int VOTERS = 3;
    private static final InetSocketAddress UNUSED_ADDRESS = LoopbackNetwork.address(0, 0, 1, 1);
    private static final String HEAP = "300m";
    private static final String LINKS_EVENT = "links ";

    /** Interval at which daemons log their link counters. */
    private static final double LINKS_INTERVAL_S = 10;

    private static final double SETTLE_S = 6;
    private static final int FIRST_FLEET = 10;

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception {
        Series bytes = findings.add(series("bytes sent by the leader", "B/s"));
        Series frames = findings.add(series("frames sent by the leader", "1/s"));
        Series cpu = findings.add(series("the leader's whole process", "% of a core"));
        Series resident = findings.add(series("the leader's whole process", "MB resident"));
        Series askerBytes = findings.add(series("one asker's bytes sent", "B/s"));
        int fleet = FIRST_FLEET;
        for (int size : spec.sizes()) {
            context.logProgress("%s: %d askers, %d voters", spec.kind().configName, size, VOTERS);
            measureSize(
                    size,
                    fleet++,
                    spec,
                    context,
                    findings,
                    List.of(bytes, frames, cpu, resident, askerBytes));
        }
    }

    private static Series series(String quantity, String unit) {
        return Series.of(
                "consensus member",
                quantity,
                unit,
                "askers",
                MECHANISM,
                TargetFleet.PROXIES,
                Double.NaN);
    }

    private static void measureSize(
            int size,
            int number,
            MeasureSpec spec,
            RunContext context,
            Findings findings,
            List<Series> series)
            throws Exception {
        try (DaemonFleet fleet = new DaemonFleet(context, number)) {
            for (int i = 0; i < size; i++) {
                fleet.route(AskersChild.name(i), AskersChild.address(number, i));
            }
            fleet.start(VOTERS, VOTERS, UNUSED_ADDRESS, context);
            List<String> words =
                    new ArrayList<>(
                            List.of("askers", "--count", "" + size, "--fleet", "" + number));
            for (int i = 0; i < VOTERS; i++) {
                words.add("--voter");
                words.add(HollowWatches.addressText(fleet.memberAddress(i)));
            }
            context.await("the consensus group has a leader", () -> leader(fleet) != null);
            try (ChildProcess askers =
                    ChildProcess.start(
                            "askers-" + number,
                            context.folder(),
                            HEAP,
                            context.reaper(),
                            words.toArray(String[]::new))) {
                RunContext.pause(SETTLE_S);
                DaemonFleet.Daemon leader = leader(fleet);
                DaemonFormat.LoggedEvent first = awaitLinksEvent(leader, context);
                ProcessUsage before = leader.usage();
                JsonPart askersBefore = askers.ask("stats");
                RunContext.pause(Math.max(spec.seconds(), LINKS_INTERVAL_S));
                DaemonFormat.LoggedEvent last = awaitLinksEvent(leader, context);
                ProcessUsage after = leader.usage();
                JsonPart askersAfter = askers.ask("stats");
                double seconds =
                        (Long.parseLong(last.clockUs()) - Long.parseLong(first.clockUs())) / 1e6;
                series.get(0).add(size, increase(first, last, "bytes") / seconds);
                series.get(1).add(size, increase(first, last, "frames") / seconds);
                series.get(2).add(size, after.cpuPercentSince(before));
                series.get(3).add(size, after.residentMb());
                double usageS = (after.atNs() - before.atNs()) / 1e9;
                series.get(4)
                        .add(
                                size,
                                (askersAfter.number("bytes") - askersBefore.number("bytes"))
                                        / usageS
                                        / size);
                findings.addVerdict(
                        "one process leads throughout at " + size + " askers",
                        leader(fleet) == leader,
                        leader.name + " leads");
            }
        }
    }

    private static DaemonFleet.Daemon leader(DaemonFleet fleet) {
        for (DaemonFleet.Daemon each : fleet.daemons()) {
            DaemonFormat.LoggedEvent said = each.last("leads");
            if (said != null && !said.text().startsWith("leads no longer")) {
                return each;
            }
        }
        return null;
    }

    /** Waits for the next log event with the link counters. */
    private static DaemonFormat.LoggedEvent awaitLinksEvent(
            DaemonFleet.Daemon daemon, RunContext context) throws InterruptedException {
        DaemonFormat.LoggedEvent previous = daemon.last(LINKS_EVENT);
        context.await(
                "the leader logs its link counters",
                () ->
                        daemon.last(LINKS_EVENT) != null
                                && !daemon.last(LINKS_EVENT).equals(previous));
        return daemon.last(LINKS_EVENT);
    }

    private static double increase(
            DaemonFormat.LoggedEvent first, DaemonFormat.LoggedEvent last, String field) {
        return Long.parseLong(DaemonFleet.field(last.text(), field))
                - Long.parseLong(DaemonFleet.field(first.text(), field));
    }
}
