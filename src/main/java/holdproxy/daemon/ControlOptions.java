package holdproxy.daemon;

import holdproxy.input.BadInput;
import holdproxy.net.Config;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;

/** Where a command finds the control machines, and what they say together. */
final class ControlOptions {
    @Option(
            names = "--config",
            paramLabel = "FILE.toml",
            description = "a daemon's file, for [distribution] admins")
    private Path config;

    @Option(
            names = "--control",
            paramLabel = "HOST:PORT",
            description = "where a control machine takes operators' calls; may be repeated")
    private List<String> machines = new ArrayList<>();

    private final AdminClient client = new AdminClient();

    AdminClient client() {
        return client;
    }

    /** All that are named, in their order. */
    List<InetSocketAddress> addresses() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        machines.forEach(each -> addresses.add(Config.address(each, "--control")));
        if (config != null) {
            DistributionSettings distribution = DaemonFile.read(config, 1).distribution();
            if (distribution != null) {
                addresses.addAll(distribution.admins());
                if (distribution.admin() != null && !addresses.contains(distribution.admin())) {
                    addresses.add(distribution.admin());
                }
            }
        }
        if (addresses.isEmpty()) {
            throw new BadInput(
                    "no control machine is named: by --control, or by [distribution] admins in"
                            + " --config");
        }
        return addresses;
    }

    /** What those say that answer; {@code unreachable} takes a line for each other one. */
    FleetVersions versions(
            List<InetSocketAddress> addresses, java.util.function.Consumer<String> unreachable) {
        List<AdminApi.Versions> answers = new ArrayList<>();
        for (InetSocketAddress each : addresses) {
            try {
                answers.add(client.versions(each));
            } catch (IOException e) {
                unreachable.accept(AdminClient.problem(each, e));
            }
        }
        return new FleetVersions(answers);
    }
}
