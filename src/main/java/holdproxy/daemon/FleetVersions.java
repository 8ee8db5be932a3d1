package holdproxy.daemon;

import java.util.List;
import java.util.TreeSet;

/**
 * The versions in force across a fleet, merged from the answers of its control machines.
 *
 * @param machines the answers received
 */
record FleetVersions(List<AdminApi.Versions> machines) {
    FleetVersions {
        machines = List.copyOf(machines);
    }

    /** The number of connected proxies, directly or through relays. */
    long proxies() {
        return machines.stream().mapToLong(AdminApi.Versions::proxies).sum();
    }

    /** Proxies that reject this version or a later one; those rejecting an earlier one may still take it. */
    long rejectingAt(AdminApi.Published version) {
        long count = 0;
        for (AdminApi.Versions machine : machines) {
            long namedRejecting = 0;
            for (AdminApi.RejectionView each : machine.rejections()) {
                namedRejecting += isAtLeast(each.epoch(), each.number(), version) ? 1 : 0;
            }
            boolean allNamed = namedRejecting == machine.rejections().size();
            // Which version the unnamed proxies reject is unknown, so they count only if all are
            // named.
            count += allNamed ? machine.rejecting() : namedRejecting;
        }
        return count;
    }

    private static boolean isAtLeast(long epoch, long number, AdminApi.Published version) {
        return epoch > version.epoch() || epoch == version.epoch() && number >= version.number();
    }

    /** The number of proxies that have this version or a later one in force. */
    long inForceAt(AdminApi.Published version) {
        long count = 0;
        for (AdminApi.Versions machine : machines) {
            for (AdminApi.VersionCount each : machine.inForce()) {
                boolean reached = isAtLeast(each.epoch(), each.number(), version);
                count += reached ? each.proxies() : 0;
            }
        }
        return count;
    }

    /**
     * Whether at least {@code expected} proxies are connected and each has this version or a later one in
     * force or has rejected it.
     */
    boolean isSettledAt(AdminApi.Published version, long expected) {
        return !machines.isEmpty()
                && proxies() >= expected
                && inForceAt(version) + rejectingAt(version) >= proxies();
    }

    /** {@code in force at n of m, rejected at k: names with their reasons}. */
    String summary(AdminApi.Published version) {
        String counts = "in force at " + inForceAt(version) + " of " + proxies();
        long rejecting = rejectingAt(version);
        if (rejecting == 0) {
            return counts;
        }
        TreeSet<String> reasons = new TreeSet<>();
        for (AdminApi.Versions machine : machines) {
            for (AdminApi.RejectionView each : machine.rejections()) {
                if (isAtLeast(each.epoch(), each.number(), version)) {
                    reasons.add(each.name() + " (" + each.reason() + ")");
                }
            }
        }
        long unnamed = rejecting - reasons.size();
        return counts
                + ", rejected at "
                + rejecting
                + ": "
                + String.join(", ", reasons)
                + (unnamed > 0 ? " and " + unnamed + " more" : "");
    }

    /** Formats one control machine's answer as a line. */
    static String describe(AdminApi.Versions machine) {
        StringBuilder line =
                new StringBuilder(machine.name() + ": " + machine.epoch() + "/" + machine.number());
        if (machine.publisher().equals(machine.name())) {
            line.append(", publisher");
        }
        line.append(", last known to be the newest: ")
                .append(machine.ageMs() < 0 ? "never" : machine.ageMs() + " ms ago")
                .append(", ")
                .append(machine.subscribers())
                .append(" subscribers of which ")
                .append(machine.catchingUp())
                .append(" catch up, ")
                .append(machine.proxies())
                .append(" proxies:");
        for (AdminApi.VersionCount each : machine.inForce()) {
            line.append(' ')
                    .append(each.epoch())
                    .append('/')
                    .append(each.number())
                    .append(" at ")
                    .append(each.proxies());
        }
        for (AdminApi.RejectionView each : machine.rejections()) {
            line.append("; ")
                    .append(each.name())
                    .append(" rejects ")
                    .append(each.epoch())
                    .append('/')
                    .append(each.number())
                    .append(": ")
                    .append(each.reason());
        }
        return line.toString();
    }
}
