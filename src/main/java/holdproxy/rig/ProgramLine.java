package holdproxy.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command line by which this program starts itself once more: the same Java, the same classes. */
public final class ProgramLine {
    private ProgramLine() {}

    /** {@code heap}: as {@code -Xmx} takes it; {@code options}: further ones of the JVM. */
    public static List<String> of(String heap, List<String> options, String... words) {
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
        // where tests run in a jar that only names others, this names those
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty(
                                "surefire.test.class.path", System.getProperty("java.class.path")),
                        "holdproxy.Main"));
        command.addAll(List.of(words));
        return command;
    }
}
