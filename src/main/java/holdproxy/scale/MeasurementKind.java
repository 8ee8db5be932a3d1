package holdproxy.scale;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/** Kinds of measurements, with estimates of the descriptors and memory that they need. */
enum MeasurementKind {
    DISCOVERY_PROXIES(
            "discovery-proxies",
            new DiscoveryByProxies(),
            s -> s.largest() + s.nodes() + Estimate.OTHER_DESCRIPTORS,
            s -> Estimate.BASE_GB + s.largest() * Estimate.GB_PER_CONNECTION),
    DISCOVERY_NODES(
            "discovery-nodes",
            new DiscoveryByNodes(),
            s -> DiscoveryByNodes.WATCHES + Estimate.OTHER_DESCRIPTORS,
            s ->
                    Estimate.BASE_GB
                            + (double) s.largest()
                                    * DiscoveryByNodes.WATCHES
                                    * Estimate.GB_PER_NODE_NAME),
    MEMBERSHIP(
            "membership",
            new MembershipBySize(),
            s -> Estimate.OTHER_DESCRIPTORS,
            s -> Estimate.BASE_GB + (double) s.largest() * s.largest() * Estimate.GB_PER_MEMBER),
    CONSENSUS(
            "consensus",
            new ConsensusByAskers(),
            s -> s.largest() * 5 + Estimate.OTHER_DESCRIPTORS,
            s -> Estimate.BASE_GB + s.largest() * Estimate.GB_PER_CONNECTION),
    STATE("state", new StateByNodes(), s -> Estimate.OTHER_DESCRIPTORS, s -> Estimate.BASE_GB),
    DECISION(
            "decision",
            new DecisionByNodes(),
            s -> Estimate.OTHER_DESCRIPTORS,
            s -> Estimate.BASE_GB),
    CONNECTIONS(
            "connections",
            new ConnectionsByNodes(),
            s -> s.largest() * (1 + s.proxies()) + Estimate.OTHER_DESCRIPTORS,
            s ->
                    Estimate.BASE_GB
                            + (double) s.largest() * s.proxies() * Estimate.GB_PER_CONNECTION),
    RELOAD("reload", new ReloadByCount(), s -> Estimate.OTHER_DESCRIPTORS, s -> Estimate.BASE_GB),
    FANOUT(
            "fanout",
            new FanoutByProxies(),
            s -> s.largest() + Estimate.OTHER_DESCRIPTORS,
            s -> Estimate.BASE_GB + s.largest() * Estimate.GB_PER_CONNECTION);

    static final List<String> NAMES = Arrays.stream(values()).map(kind -> kind.configName).toList();

    /** Estimated needs, by which a run that does not fit the machine is refused. */
    private static final class Estimate {
        /** Descriptors of a process besides its connections. */
        static final int OTHER_DESCRIPTORS = 300;

        /** Fixed part for all processes together. */
        static final double BASE_GB = 1.5;

        /** For a connection with its pipeline and state at both ends. */
        static final double GB_PER_CONNECTION = 120e3 / 1e9;

        static final double GB_PER_NODE_NAME = 400 / 1e9;
        static final double GB_PER_MEMBER = 1_500 / 1e9;
    }

    final String configName;
    final Measurement measurement;
    private final ToLongFunction<MeasureSpec> descriptors;
    private final ToDoubleFunction<MeasureSpec> memoryGb;

    MeasurementKind(
            String word,
            Measurement measurement,
            ToLongFunction<MeasureSpec> descriptors,
            ToDoubleFunction<MeasureSpec> memoryGb) {
        this.configName = word;
        this.measurement = measurement;
        this.descriptors = descriptors;
        this.memoryGb = memoryGb;
    }

    static MeasurementKind named(String word) {
        return Arrays.stream(values())
                .filter(kind -> kind.configName.equals(word))
                .findFirst()
                .orElseThrow();
    }

    /** Estimated descriptors of the process that needs the most. */
    long descriptors(MeasureSpec spec) {
        return descriptors.applyAsLong(spec);
    }

    /** Estimated memory of all processes together. */
    double memoryGb(MeasureSpec spec) {
        return memoryGb.applyAsDouble(spec);
    }
}
