package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.Event;
import holdproxy.net.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Each auditor must report a proxy that breaks its rule, by a fault injected between the proxy and its
 * network.
 */
class AuditorsTest {
    private static final Scenario SMALL =
            new Scenario("small", 7, 5, Scenario.SMALL, Scenario.PLAIN, List.of());

    /** Transforms the bytes that the proxy writes; the returned bytes are sent. */
    private interface Plant {
        ByteBuf written(String text, ByteBuf bytes);
    }

    /**
     * A network that injects a fault into each client's connection, or into each connection to a node.
     */
    private static final class Planted implements Transport {
        private final Transport network;
        private final boolean atNodes;
        private final Plant fault;

        Planted(Transport network, boolean atNodes, Plant fault) {
            this.network = network;
            this.atNodes = atNodes;
            this.fault = fault;
        }

        private ChannelHandler[] with(ChannelHandler... handlers) {
            ChannelHandler tap =
                    new ChannelOutboundHandlerAdapter() {
                        @Override
                        public void write(
                                ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                            ByteBuf bytes = (ByteBuf) message;
                            ctx.write(
                                    fault.written(
                                            bytes.toString(StandardCharsets.ISO_8859_1), bytes),
                                    promise);
                        }
                    };
            return Stream.concat(Stream.of(tap), Stream.of(handlers))
                    .toArray(ChannelHandler[]::new);
        }

        @Override
        public ChannelFuture connect(
                InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
            boolean node = address.getPort() == 11211;
            return network.connect(address, timeoutMs, atNodes && node ? with(handlers) : handlers);
        }

        @Override
        public ChannelFuture listen(
                InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
            return network.listen(address, () -> atNodes ? handlers.get() : with(handlers.get()));
        }

        @Override
        public void shutdownOutput(Channel channel) {
            network.shutdownOutput(channel);
        }
    }

    private static List<Event> play(boolean atNodes, Function<Transport, Plant> fault) {
        try (SimulatedSite site =
                new SimulatedSite(SMALL, n -> new Planted(n, atNodes, fault.apply(n)))) {
            site.run();
            return site.record.events();
        }
    }

    private static Plant nth(int n, Plant fault) {
        int[] count = new int[1];
        return (text, bytes) -> ++count[0] % n == 0 ? fault.written(text, bytes) : bytes;
    }

    /** Sends the proxy's bytes to another node as well. */
    private static void alsoSendTo(Transport network, int node, ByteBuf bytes, int times) {
        for (int i = 0; i < times; i++) {
            ChannelFuture connected =
                    network.connect(
                            new InetSocketAddress("10.2.0." + node, 11211),
                            1000,
                            new ChannelInboundHandlerAdapter());
            Channel ch = connected.channel();
            ByteBuf copy = bytes.copy();
            connected.addListener(f -> ch.writeAndFlush(copy));
        }
    }

    @Test
    void duplicateAnswerIsReported() {
        assertFalse(
                Auditors.oneAnswer(
                                play(
                                        false,
                                        n ->
                                                nth(
                                                        50,
                                                        (text, bytes) ->
                                                                Unpooled.copiedBuffer(
                                                                        text + text,
                                                                        StandardCharsets
                                                                                .ISO_8859_1))))
                        .isEmpty());
    }

    @Test
    void droppedAnswerIsReported() {
        assertFalse(
                Auditors.oneAnswer(
                                play(false, n -> nth(50, (text, bytes) -> Unpooled.EMPTY_BUFFER)))
                        .isEmpty());
    }

    @Test
    void swappedAnswersAreReported() {
        ByteBuf[] held = new ByteBuf[1];
        assertFalse(
                Auditors.valueIntegrity(
                                play(
                                        false,
                                        n ->
                                                (text, bytes) -> {
                                                    ByteBuf out = held[0] == null ? bytes : held[0];
                                                    held[0] = held[0] == null ? bytes.copy() : null;
                                                    return out;
                                                }))
                        .isEmpty());
    }

    @Test
    void enrolmentSentToTwoNodesIsReported() {
        assertFalse(
                Auditors.repeatedWrites(
                                play(
                                        true,
                                        n ->
                                                (text, bytes) -> {
                                                    if (text.contains("c=enrolment")) {
                                                        alsoSendTo(n, 5, bytes, 1);
                                                    }
                                                    return bytes;
                                                }))
                        .isEmpty());
    }

    @Test
    void tooManyAttemptsAreReported() {
        assertFalse(
                Auditors.attempts(
                                play(
                                        true,
                                        n ->
                                                nth(
                                                        50,
                                                        (text, bytes) -> {
                                                            alsoSendTo(n, 5, bytes, 3);
                                                            return bytes;
                                                        })))
                        .isEmpty());
    }

    @Test
    void sendAfterDrainIsReported() {
        try (SimulatedSite site = new SimulatedSite(SMALL)) {
            site.schedule(
                    1,
                    () -> {
                        site.nodes.get(4).drain();
                        site.publishNodeState(site.nodes.get(4));
                    });
            site.schedule(
                    2,
                    () ->
                            alsoSendTo(
                                    site.network.process("proxy-0", site.loop, 0),
                                    4,
                                    Unpooled.copiedBuffer(
                                            "mg a1 v Off Pc=card-check,d=500\r\n",
                                            StandardCharsets.ISO_8859_1),
                                    1));
            site.run();
            assertFalse(Auditors.drains(site.record.events()).isEmpty());
        }
    }

    @Test
    void sendToALeftOutNodeIsReportedUntilItIsUsedAgain() {
        for (boolean back : new boolean[] {false, true}) {
            try (SimulatedSite site = new SimulatedSite(SMALL)) {
                site.schedule(1, () -> site.proxies.get(0).leaveOut("s-4", true));
                if (back) {
                    site.schedule(1.8, () -> site.proxies.get(0).leaveOut("s-4", false));
                }
                site.schedule(
                        2,
                        () ->
                                alsoSendTo(
                                        site.network.process("proxy-0", site.loop, 0),
                                        4,
                                        Unpooled.copiedBuffer(
                                                "mg a1 v Off Pc=card-check,d=500\r\n",
                                                StandardCharsets.ISO_8859_1),
                                        1));
                site.run();
                assertEquals(back, Auditors.excludedNodes(site.record.events()).isEmpty());
            }
        }
    }

    @Test
    void metricsThatCountAnUndeliveredAnswerAreReported() {
        assertTrue(Auditors.reportedCounters(play(false, n -> (text, bytes) -> bytes)).isEmpty());
        assertFalse(
                Auditors.reportedCounters(
                                play(
                                        false,
                                        n ->
                                                nth(
                                                        50,
                                                        (text, bytes) ->
                                                                text.startsWith("VA ")
                                                                        ? Unpooled.copiedBuffer(
                                                                                "SERVER_ERROR"
                                                                                    + " failed\r\n",
                                                                                StandardCharsets
                                                                                        .ISO_8859_1)
                                                                        : bytes)))
                        .isEmpty());
    }

    @Test
    void uncountedAttemptsAreReported() {
        assertFalse(
                Auditors.reportedCounters(
                                play(
                                        true,
                                        n ->
                                                nth(
                                                        20,
                                                        (text, bytes) -> {
                                                            alsoSendTo(n, 5, bytes, 1);
                                                            return bytes;
                                                        })))
                        .isEmpty());
    }

    @Test
    void attemptBeyondTheSettingsInForceIsReported() {
        try (SimulatedSite site =
                new SimulatedSite(
                        SMALL,
                        n ->
                                new Planted(
                                        n,
                                        true,
                                        nth(
                                                20,
                                                (text, bytes) -> {
                                                    alsoSendTo(n, 5, bytes, 1);
                                                    return bytes;
                                                })))) {
            site.schedule(1, () -> site.proxies.forEach(p -> p.reload(1)));
            site.run();
            assertFalse(Auditors.attempts(site.record.events()).isEmpty());
        }
    }

    /** A node starts cold, all proxies know it, and each command is sent to it this many times more. */
    private static List<String> rushed(int times) {
        try (SimulatedSite site =
                new SimulatedSite(
                        SMALL,
                        n ->
                                new Planted(
                                        n,
                                        true,
                                        (text, bytes) -> {
                                            alsoSendTo(n, 5, bytes, times);
                                            return bytes;
                                        }))) {
            site.schedule(0.5, () -> site.nodes.get(5).stop("crash"));
            site.schedule(
                    1,
                    () -> {
                        site.nodes.get(5).startCold();
                        site.publishNodeState(site.nodes.get(5));
                    });
            site.run();
            return Auditors.coldNodeBudgets(site.record.events());
        }
    }

    @Test
    void overloadedColdNodeIsReported() {
        assertTrue(rushed(0).isEmpty());
        assertFalse(rushed(2).isEmpty());
    }

    @Test
    void refusalOfAnExecutedEnrolmentIsReported() {
        assertFalse(
                Auditors.refusedNeverApplied(
                                play(
                                        false,
                                        n ->
                                                (text, bytes) ->
                                                        text.startsWith("HD ")
                                                                ? Unpooled.copiedBuffer(
                                                                        "SERVER_ERROR busy\r\n",
                                                                        StandardCharsets.ISO_8859_1)
                                                                : bytes))
                        .isEmpty());
    }
}
