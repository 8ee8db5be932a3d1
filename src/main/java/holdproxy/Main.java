package holdproxy;

import holdproxy.daemon.DaemonCommand;
import holdproxy.harness.RigCommand;
import holdproxy.input.BadInput;
import holdproxy.net.ProxyService;
import holdproxy.scale.ScaleCommand;
import holdproxy.sim.SimulatorHost;
import holdproxy.simulation.LabCommand;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * Command line: {@code serve} runs the proxy, {@code simhost} the decision module on the simulator's
 * protocol, {@code lab} simulations in virtual time, {@code rig} real processes under injected faults, {@code
 * daemon} the proxy with the parts by which a fleet cooperates, {@code scale} measurements of how each part
 * scales.
 */
public final class Main {
    private static final List<String> WITH_ARGUMENTS = List.of("daemon", "lab", "rig", "scale");

    private Main() {}

    /** Runs the command that the first argument names. */
    public static void main(String[] args) {
        boolean known = args.length == 1 || args.length > 1 && WITH_ARGUMENTS.contains(args[0]);
        String command = known ? args[0] : "";
        switch (command) {
            case "serve" -> serve();
            case "simhost" -> simhost();
            case "lab" -> System.exit(LabCommand.run(Arrays.copyOfRange(args, 1, args.length)));
            case "daemon" -> {
                int code = DaemonCommand.run(Arrays.copyOfRange(args, 1, args.length));
                if (code != DaemonCommand.RUNS) {
                    System.exit(code);
                }
            }
            case "rig" -> System.exit(RigCommand.run(Arrays.copyOfRange(args, 1, args.length)));
            case "scale" -> System.exit(ScaleCommand.run(Arrays.copyOfRange(args, 1, args.length)));
            default -> {
                System.err.println(
                        "usage: java -jar holdproxy.jar serve | simhost | daemon | lab | rig"
                                + " | scale"
                                + " (see daemon --help, lab --help, rig --help, scale --help)");
                System.exit(2);
            }
        }
    }

    private static void serve() {
        try {
            ProxyService.serve(System.getenv());
        } catch (BadInput e) {
            System.err.println("holdproxy: " + e.getMessage());
            System.exit(2);
        }
    }

    private static void simhost() {
        try {
            FileInputStream in = new FileInputStream(FileDescriptor.in);
            new SimulatorHost(in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (BadInput | IOException e) {
            System.err.println("holdproxy: " + e.getMessage());
            System.exit(1);
        }
    }
}
