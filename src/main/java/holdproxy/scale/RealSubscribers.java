package holdproxy.scale;

import holdproxy.toml.TomlText;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/** Real daemons in the role of proxies, which subscribe to the fan-out; they are spread over the zones. */
final class RealSubscribers implements AutoCloseable {
    private static final InetSocketAddress UNUSED_ADDRESS = LoopbackNetwork.address(0, 0, 1, 1);
    private static final int FIRST_FLEET = 100;
    private static final Pattern IN_FORCE =
            Pattern.compile(
                    "\"timestamp\":(\\d+).*\"number\":\"(\\d+)\".*\"configuration in force\"");

    private final DaemonFleet fleet;

    /** Starts {@code count} daemons. */
    RealSubscribers(RunContext context, FanoutTopology topology, int count) throws Exception {
        fleet = new DaemonFleet(context, FIRST_FLEET + topology.run());
        fleet.extraSection(i -> section(topology, i));
        fleet.start(count, 0, UNUSED_ADDRESS, context);
    }

    private static String section(FanoutTopology topology, int number) {
        int zone = number % topology.relays();
        List<String> upstream =
                topology.proxyUpstreams("daemon-" + number, zone).stream()
                        .map(relay -> TomlText.quoted(relay.address()))
                        .toList();
        return "[distribution]\nrole = \"proxy\"\nsite = "
                + TomlText.quoted(FanoutTopology.zoneName(zone))
                + "\nupstream = "
                + upstream
                + "\n";
    }

    /** Whether this change is the last in force at each daemon, and none took a change out of order. */
    boolean allAt(long number) {
        return fleet.daemons().stream().allMatch(daemon -> numberInForce(daemon) == number);
    }

    /** Number of the last change that a daemon logged as in force; -1 if the numbers did not increase. */
    private static long numberInForce(DaemonFleet.Daemon daemon) {
        long[] last = {0};
        daemon.lines(
                line -> {
                    Matcher inForce = IN_FORCE.matcher(line);
                    if (inForce.find() && last[0] >= 0) {
                        long number = Long.parseLong(inForce.group(2));
                        last[0] = number > last[0] ? number : -1;
                    }
                });
        return last[0];
    }

    /**
     * Time from the commit of each change until it was in force at each daemon. A daemon's first
     * configuration is not counted.
     *
     * @param committedUnixUs commit times by the number of the change
     */
    Histogram latencies(Map<Long, Long> committedUnixUs) {
        Histogram all = Latencies.histogram();
        for (DaemonFleet.Daemon daemon : fleet.daemons()) {
            long[] last = {0};
            daemon.lines(
                    line -> {
                        Matcher inForce = IN_FORCE.matcher(line);
                        if (inForce.find()) {
                            long unixUs = Long.parseLong(inForce.group(1)) * 1000;
                            long number = Long.parseLong(inForce.group(2));
                            for (long each = last[0] + 1; each <= number; each++) {
                                Long committed = committedUnixUs.get(each);
                                if (committed != null && last[0] > 0) {
                                    Latencies.record(all, unixUs - committed);
                                }
                            }
                            last[0] = number;
                        }
                    });
        }
        return all;
    }

    int count() {
        return fleet.daemons().size();
    }

    double residentMb() {
        return fleet.daemons().stream()
                .mapToDouble(d -> d.usage().residentMb())
                .average()
                .orElse(0);
    }

    @Override
    public void close() throws Exception {
        fleet.close();
    }
}
