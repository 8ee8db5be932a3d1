package holdproxy.daemon;

import java.util.List;
import java.util.TreeSet;

/**
 * How far a fleet is, by what its control machines say together.
 *
 * @param machines those that answered
 */
record FleetVersions(List<AdminApi.Versions> machines) {
    FleetVersions {
        machines = List.copyOf(machines);
    }

    /** Proxies that are connected, by way of relays or at once. */
    long proxies() {
        return machines.stream().mapToLong(AdminApi.Versions::proxies).sum();
    }

    /** Proxies that reject this version or a later one; those that reject an earlier one may take it yet. */
    long rejectingAt(AdminApi.Published version) {
        long count = 0;
        for (AdminApi.Versions machine : machines) {
            long named = 0;
            for (AdminApi.RejectionView each : machine.rejections()) {
                named += reaches(each.epoch(), each.number(), version) ? 1 : 0;
            }
            boolean allNamed = named == machine.rejections().size();
            // of those that are not named nothing else is known
            count += allNamed ? machine.rejecting() : named;
        }
        return count;
    }

    private static boolean reaches(long epoch, long number, AdminApi.Published version) {
        return epoch > version.epoch() || epoch == version.epoch() && number >= version.number();
    }

    /** Proxies that have this version or a later one in force. */
    long inForceAt(AdminApi.Published version) {
        long count = 0;
        for (AdminApi.Versions machine : machines) {
            for (AdminApi.VersionCount each : machine.inForce()) {
                boolean reached = reaches(each.epoch(), each.number(), version);
                count += reached ? each.proxies() : 0;
            }
        }
        return count;
    }

    /** Whether each connected proxy has this version in force or has rejected what it received last. */
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
                if (reaches(each.epoch(), each.number(), version)) {
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

    /** One machine's line. */
    static String line(AdminApi.Versions machine) {
        StringBuilder line =
                new StringBuilder(machine.name() + ": " + machine.epoch() + "/" + machine.number());
        if (machine.publisher().equals(machine.name())) {
            line.append(", publisher");
        }
        line.append(", known to be the newest ")
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
