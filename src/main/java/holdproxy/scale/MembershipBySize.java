package holdproxy.scale;

import holdproxy.membership.Member;
import holdproxy.membership.MemberChange;
import holdproxy.membership.Membership;
import holdproxy.membership.Message;
import holdproxy.membership.MessageCodec;
import holdproxy.simulation.SimulatedClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Measures membership by the number of members: runs the real protocol rules and codec of all members on one
 * thread in virtual time, then stops a third of the members at once.
 */
final class MembershipBySize implements Measurement {
    private static final String MECHANISM = "gossip membership (SWIM with Lifeguard), flat";
    private static final String ROLE = "member (every process)";
    private static final int SEEDS = 3;
    private static final long SECOND_US = 1_000_000;
    private static final long MIN_DELAY_US = 200;
    private static final int DELAY_SPREAD_US = 2_000;
    private static final long MAX_WAIT_US = 600 * SECOND_US;

    /** Frame overhead added to a message by {@code Links}. */
    private static final int FRAME_BYTES = 6;

    private static final int LOSS_DIVISOR = 3;

    /** The loss is not simulated at larger sizes, where it takes too long. */
    private static final int MAX_SIZE_FOR_LOSS = 400;

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) {
        Series messages = findings.add(series("messages sent", "1/s", Double.NaN));
        Series bytes = findings.add(series("bytes sent", "B/s", TargetFleet.PROXY_BYTES_PER_S));
        Series cpu =
                findings.add(
                        series(
                                "rules and codec, without sockets",
                                "% of a core",
                                TargetFleet.PROXY_CPU_PERCENT));
        Series heap = findings.add(series("members held", "kB", TargetFleet.PROXY_MB * 1024));
        Series joined =
                findings.add(series("until all know all, started together", "s", Double.NaN));
        Series lost = findings.add(series("until all know that a third is gone", "s", Double.NaN));
        for (int size : spec.sizes()) {
            long heapBefore = Heap.usedBytes();
            Fleet fleet = new Fleet(size);
            joined.add(size, fleet.runUntilAllKnowAll());
            context.logProgress("%s: %d members know each other", spec.kind().configName, size);
            fleet.run(SECOND_US * 5);
            fleet.resetCounts();
            long cpuNs = CpuClock.ns();
            fleet.run((long) (spec.seconds() * SECOND_US));
            double perProcess = 1 / spec.seconds() / size;
            cpu.add(size, (CpuClock.ns() - cpuNs) / 1e9 * perProcess * 100);
            messages.add(size, fleet.messages * perProcess);
            bytes.add(size, fleet.bytes * perProcess);
            heap.add(size, (Heap.usedBytes() - heapBefore) / 1024.0 / size);
            findings.addVerdict(
                    "every member knows every other at " + size,
                    fleet.allKnowAll(),
                    size + " members");
            if (size <= MAX_SIZE_FOR_LOSS) {
                lost.add(size, fleet.secondsToDetectLoss());
            }
        }
    }

    private static Series series(String quantity, String unit, double budget) {
        return Series.of(ROLE, quantity, unit, "members", MECHANISM, TargetFleet.PROXIES, budget);
    }

    /** All members, in virtual time. */
    private static final class Fleet {
        private final SimulatedClock time = new SimulatedClock();
        private final Random random = new Random(1);
        private final Map<String, SimulatedMember> byAddress = new HashMap<>();
        private final List<SimulatedMember> processes = new ArrayList<>();
        private long messages;
        private long bytes;

        Fleet(int size) {
            List<String> seeds = new ArrayList<>();
            for (int i = 0; i < Math.min(SEEDS, size); i++) {
                seeds.add(address(i));
            }
            for (int i = 0; i < size; i++) {
                processes.add(new SimulatedMember(i, seeds));
            }
        }

        private static String address(int number) {
            return "10.0." + number / 250 + "." + (number % 250 + 1) + ":7000";
        }

        void run(long us) {
            time.run(time.nowUs() + us);
        }

        void resetCounts() {
            messages = 0;
            bytes = 0;
        }

        boolean allKnowAll() {
            long alive = processes.stream().filter(p -> !p.stopped).count();
            return processes.stream().filter(p -> !p.stopped).allMatch(p -> p.live() == alive - 1);
        }

        double runUntilAllKnowAll() {
            long startUs = time.nowUs();
            while (!allKnowAll() && time.nowUs() - startUs < MAX_WAIT_US) {
                run(SECOND_US / 2);
            }
            return (time.nowUs() - startUs) / (double) SECOND_US;
        }

        double secondsToDetectLoss() {
            for (int i = 0; i < processes.size() / LOSS_DIVISOR; i++) {
                processes.get(processes.size() - 1 - i).stopped = true;
            }
            return runUntilAllKnowAll();
        }

        private final class SimulatedMember implements Membership.Output {
            private final Membership rules;
            private boolean stopped;
            private long timerUs = Long.MAX_VALUE;

            SimulatedMember(int number, List<String> seeds) {
                String address = address(number);
                byAddress.put(address, this);
                rules =
                        new Membership(
                                Membership.Settings.DEFAULT,
                                "proxy-" + number,
                                address,
                                1,
                                seeds,
                                new Random(random.nextLong()),
                                time.nowUs(),
                                this);
                scheduleTick();
            }

            int live() {
                return (int) rules.others().stream().filter(Member::live).count();
            }

            private void scheduleTick() {
                long dueUs = Math.max(rules.dueUs(), time.nowUs());
                if (dueUs < timerUs) {
                    timerUs = dueUs;
                    time.schedule(dueUs - time.nowUs(), () -> onTimer(dueUs));
                }
            }

            private void onTimer(long dueUs) {
                if (dueUs != timerUs || stopped) {
                    return;
                }
                timerUs = Long.MAX_VALUE;
                if (rules.dueUs() <= time.nowUs()) {
                    rules.tick(time.nowUs());
                }
                scheduleTick();
            }

            @Override
            public void send(String name, String address, Message message) {
                byte[] frame = MessageCodec.encode(message);
                messages++;
                bytes += frame.length + FRAME_BYTES;
                SimulatedMember to = byAddress.get(address);
                time.schedule(
                        MIN_DELAY_US + random.nextInt(DELAY_SPREAD_US), () -> to.received(frame));
            }

            private void received(byte[] frame) {
                if (!stopped) {
                    rules.received(time.nowUs(), MessageCodec.decode(frame));
                    scheduleTick();
                }
            }

            @Override
            public void changed(MemberChange change) {
                // live members are read from the rules
            }

            @Override
            public void superseded(Member by) {
                stopped = true;
            }
        }
    }
}
