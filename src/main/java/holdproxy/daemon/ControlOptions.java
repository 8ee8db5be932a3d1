package holdproxy.daemon;

import holdproxy.input.BadInput;
import holdproxy.net.Config;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;

/** Options that name the control machines, and the requests that are sent to all of them. */
final class ControlOptions {
    @Option(
            names = "--config",
            paramLabel = "FILE.toml",
            description = "a daemon's configuration file, read for [distribution] admins")
    private Path configFile;

    @Option(
            names = "--control",
            paramLabel = "HOST:PORT",
            description = "admin address of a control machine; may be repeated")
    private List<String> machineAddresses = new ArrayList<>();

    private final AdminClient client = new AdminClient();

    AdminClient client() {
        return client;
    }

    /** All addresses given, in order. */
    List<InetSocketAddress> addresses() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        machineAddresses.forEach(each -> addresses.add(Config.address(each, "--control")));
        if (configFile != null) {
            DistributionSettings distribution = DaemonFile.read(configFile, 1).distribution();
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

    /** Queries all machines; {@code unreachable} gets a line for each one that does not answer. */
    FleetVersions versions(
            List<InetSocketAddress> addresses, java.util.function.Consumer<String> unreachable) {
        List<AdminApi.Versions> answers = new ArrayList<>();
        for (InetSocketAddress each : addresses) {
            try {
                answers.add(client.versions(each));
            } catch (IOException e) {
                unreachable.accept(AdminClient.describeFailure(each, e));
            }
        }
        return new FleetVersions(answers);
    }
}
