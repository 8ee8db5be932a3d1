package holdproxy.scale;

import holdproxy.rig.DaemonText;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Measures the cost of the consensus group's leader by the number of processes that ask it for a lease. */
final class ConsensusByAskers implements Measurement {
    private static final String RAFT = "Raft group with leases; every process asks";
    private static final int VOTERS = 3;
    private static final InetSocketAddress NOWHERE = LoopbackNetwork.address(0, 0, 1, 1);
    private static final String HEAP = "300m";
    private static final String LINKS = "links ";

    /** Interval at which daemons log their link counters. */
    private static final double LINKS_EVERY_S = 10;

    private static final double SETTLE_S = 6;
    private static final int FIRST_FLEET = 10;

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception {
        Series bytes = findings.add(series("bytes sent by the leader", "B/s"));
        Series frames = findings.add(series("frames sent by the leader", "1/s"));
        Series cpu = findings.add(series("the leader's whole process", "% of a core"));
        Series resident = findings.add(series("the leader's whole process", "MB resident"));
        Series asking = findings.add(series("one asker's bytes sent", "B/s"));
        int fleet = FIRST_FLEET;
        for (int size : spec.sizes()) {
            context.say("%s: %d askers, %d voters", spec.kind().word, size, VOTERS);
            at(
                    size,
                    fleet++,
                    spec,
                    context,
                    findings,
                    List.of(bytes, frames, cpu, resident, asking));
        }
    }

    private static Series series(String quantity, String unit) {
        return Series.of(
                "consensus member",
                quantity,
                unit,
                "askers",
                RAFT,
                TargetFleet.PROXIES,
                Double.NaN);
    }

    private static void at(
            int size,
            int number,
            MeasureSpec spec,
            RunContext context,
            Findings findings,
            List<Series> to)
            throws Exception {
        try (DaemonFleet fleet = new DaemonFleet(context, number)) {
            for (int i = 0; i < size; i++) {
                fleet.route(AskersChild.name(i), AskersChild.address(number, i));
            }
            fleet.start(VOTERS, VOTERS, NOWHERE, context);
            List<String> words =
                    new ArrayList<>(
                            List.of("askers", "--count", "" + size, "--fleet", "" + number));
            for (int i = 0; i < VOTERS; i++) {
                words.add("--voter");
                words.add(HollowWatches.text(fleet.memberAddress(i)));
            }
            context.await("the consensus group has a leader", () -> leader(fleet) != null);
            try (ChildProcess askers =
                    ChildProcess.start(
                            "askers-" + number,
                            context.folder(),
                            HEAP,
                            context.keeper(),
                            words.toArray(String[]::new))) {
                RunContext.pause(SETTLE_S);
                DaemonFleet.Daemon leader = leader(fleet);
                DaemonText.Said first = next(leader, context);
                ProcessUsage before = leader.usage();
                JsonPart asked = askers.ask("stats");
                RunContext.pause(Math.max(spec.seconds(), LINKS_EVERY_S));
                DaemonText.Said last = next(leader, context);
                ProcessUsage after = leader.usage();
                JsonPart askedThen = askers.ask("stats");
                double seconds =
                        (Long.parseLong(last.clockUs()) - Long.parseLong(first.clockUs())) / 1e6;
                to.get(0).add(size, grown(first, last, "bytes") / seconds);
                to.get(1).add(size, grown(first, last, "frames") / seconds);
                to.get(2).add(size, after.cpuPercentSince(before));
                to.get(3).add(size, after.residentMb());
                double usageS = (after.atNs() - before.atNs()) / 1e9;
                to.get(4)
                        .add(
                                size,
                                (askedThen.number("bytes") - asked.number("bytes"))
                                        / usageS
                                        / size);
                findings.judge(
                        "one process leads throughout at " + size + " askers",
                        leader(fleet) == leader,
                        leader.name + " leads");
            }
        }
    }

    private static DaemonFleet.Daemon leader(DaemonFleet fleet) {
        for (DaemonFleet.Daemon each : fleet.daemons()) {
            DaemonText.Said said = each.last("leads");
            if (said != null && !said.what().startsWith("leads no longer")) {
                return each;
            }
        }
        return null;
    }

    /** Waits for the next log event with the link counters. */
    private static DaemonText.Said next(DaemonFleet.Daemon daemon, RunContext context)
            throws InterruptedException {
        DaemonText.Said held = daemon.last(LINKS);
        context.await(
                "the leader logs its link counters",
                () -> daemon.last(LINKS) != null && !daemon.last(LINKS).equals(held));
        return daemon.last(LINKS);
    }

    private static double grown(DaemonText.Said first, DaemonText.Said last, String field) {
        return Long.parseLong(DaemonFleet.field(last.what(), field))
                - Long.parseLong(DaemonFleet.field(first.what(), field));
    }
}
