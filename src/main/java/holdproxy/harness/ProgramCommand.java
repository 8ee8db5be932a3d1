package holdproxy.harness;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Builds command lines that start this program again with the same Java and class path. */
public final class ProgramCommand {
    private ProgramCommand() {}

    /** {@code heap}: in the format of {@code -Xmx}; {@code options}: further JVM options. */
    public static List<String> of(String heap, List<String> options, String... arguments) {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command =
                new ArrayList<>(
                        List.of(
                                java,
                                "-XX:+UseSerialGC",
                                "-Xmx" + heap,
                                "-Djava.net.preferIPv4Stack=true",
                                "-Dio.netty.leakDetection.level=disabled"));
        command.addAll(options);
        // surefire may run tests from a jar with only a manifest; this property has the real class
        // path
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty(
                                "surefire.test.class.path", System.getProperty("java.class.path")),
                        "holdproxy.Main"));
        command.addAll(List.of(arguments));
        return command;
    }
}
