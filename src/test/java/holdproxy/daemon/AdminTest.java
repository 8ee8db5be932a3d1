package holdproxy.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.console.Figures;
import holdproxy.daemon.AdminApi.PublishRequest;
import holdproxy.daemon.AdminApi.Published;
import holdproxy.daemon.AdminApi.RejectionView;
import holdproxy.daemon.AdminApi.VersionCount;
import holdproxy.daemon.AdminApi.Versions;
import holdproxy.fanout.Position;
import holdproxy.fanout.Relay;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The admin API of a control machine, and the merging of several machines' answers. */
class AdminTest {
    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private InetSocketAddress address;
    private PublishRequest lastRequest;
    private Object answer = new Published(5, 3);

    @BeforeEach
    void begin() throws Exception {
        AdminServer.Operations operations =
                new AdminServer.Operations() {
                    @Override
                    public CompletableFuture<Object> publish(PublishRequest request) {
                        lastRequest = request;
                        return CompletableFuture.completedFuture(answer);
                    }

                    @Override
                    public Versions versions() {
                        return machine(3, 2, List.of());
                    }
                };
        address =
                (InetSocketAddress)
                        new AdminServer(loop, operations)
                                .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                                .sync()
                                .channel()
                                .localAddress();
    }

    @AfterEach
    void end() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A control machine with ten proxies, {@code atThree} of them at 5/3 and the others at 5/2. */
    private static Versions machine(long atThree, long rejecting, List<RejectionView> rejections) {
        return new Versions(
                "control-1",
                5,
                3,
                "control-1",
                0,
                10,
                0,
                10,
                List.of(new VersionCount(5, 3, atThree), new VersionCount(5, 2, 10 - atThree)),
                rejecting,
                rejections);
    }

    private static List<RejectionView> rejections(int count, long number) {
        return IntStream.range(0, count)
                .mapToObj(i -> new RejectionView("proxy-" + i, 5, number, "why"))
                .toList();
    }

    private String raw(String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String post(String body) {
        return "POST /v1/changes HTTP/1.1\r\nconnection: close\r\ncontent-length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    @Test
    void requestsAndAnswersArriveUnchanged() throws Exception {
        AdminClient client = new AdminClient();
        PublishRequest request =
                new PublishRequest("id", Map.of("settings/caps", "{}"), List.of("settings/rules"));
        assertEquals(answer, client.publish(address, request));
        assertEquals(request, lastRequest);
        for (boolean retry : new boolean[] {true, false}) {
            answer = new AdminApi.Failure("TOO_LARGE: why", retry);
            assertEquals(answer, client.publish(address, request));
        }
        assertEquals(machine(3, 2, List.of()), client.versions(address));
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        assertTrue(((AdminApi.Failure) client.publish(address, request)).retry());
        assertThrows(IOException.class, () -> client.versions(address));
    }

    @Test
    void invalidRequestsGetAnError() throws Exception {
        assertTrue(raw("GET /v2 HTTP/1.1\r\n\r\n").contains(" 404 "));
        assertTrue(raw("DELETE /v1/versions HTTP/1.1\r\n\r\n").contains(" 404 "));
        assertTrue(raw(post("[]")).contains("not a valid PublishRequest"));
        assertTrue(raw(post("{\"put\":3}")).contains(" 400 "));
        String tooLong = post("x".repeat(AdminApi.MAX_REQUEST_BYTES + 1));
        assertTrue(raw(tooLong.substring(0, tooLong.indexOf("\r\n\r\n") + 4)).contains(" 413 "));
        assertEquals(null, lastRequest);
        assertTrue(
                raw("GET /v1/versions HTTP/1.1\r\n\r\n").contains("\"publisher\":\"control-1\""));
    }

    @Test
    void changeIsSettledWhenEachProxyAppliedOrRejectedIt() {
        Published version = new Published(5, 3);
        FleetVersions none = new FleetVersions(List.of());
        assertFalse(none.isSettledAt(version, 0), "no machine has answered");
        FleetVersions some =
                new FleetVersions(List.of(machine(9, 0, List.of()), machine(10, 0, List.of())));
        assertFalse(some.isSettledAt(version, 1));
        assertEquals("in force at 19 of 20", some.summary(version));
        FleetVersions all = new FleetVersions(List.of(machine(8, 2, rejections(2, 3))));
        assertTrue(all.isSettledAt(version, 10));
        assertFalse(all.isSettledAt(version, 11), "more are expected");
        assertEquals(
                "in force at 8 of 10, rejected at 2: proxy-0 (why), proxy-1 (why)",
                all.summary(version));
        FleetVersions earlier = new FleetVersions(List.of(machine(8, 2, rejections(2, 2))));
        assertFalse(
                earlier.isSettledAt(version, 1),
                "they reject the previous version and may still take this one");
        assertEquals("in force at 8 of 10", earlier.summary(version));
        FleetVersions many = new FleetVersions(List.of(machine(0, 10, rejections(3, 4))));
        assertTrue(many.isSettledAt(version, 1));
        assertTrue(many.summary(version).endsWith(" and 7 more"), many.summary(version));
        assertTrue(
                FleetVersions.describe(machine(8, 1, rejections(1, 3)))
                        .contains("5/3 at 8 5/2 at 2; proxy-0 rejects 5/3: why"));
    }

    @Test
    void versionInForceAndItsAgeAreFigures() {
        long[] nowUs = {7};
        Figures figures = new Figures();
        FreshnessReporter reporter = new FreshnessReporter(figures, () -> nowUs[0]);
        assertFalse(figures.text().contains("published"), "no figure while nothing is published");
        reporter.update(Position.NONE, Relay.Source.UNKNOWN_AGE_US);
        assertTrue(figures.text().contains("svc.published_age_s=-1"), figures.text());
        reporter.update(new Position(5, 3), 2_600_000);
        assertTrue(
                figures.text()
                        .contains(
                                "svc.published_epoch=5\r\n"
                                        + "svc.published_number=3\r\n"
                                        + "svc.published_age_s=2\r\n"),
                figures.text());
    }
}
