package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.policy.Router;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Reloading settings at SIGHUP: applied whole or not at all; open requests keep the settings they started
 * with.
 */
@Timeout(60)
class SettingsReloadTest {
    private static final String SETTINGS = Fixture.SETTINGS;
    @TempDir Path folder;

    private static String file(Fixture f, String settings) {
        return "{\"discovery\":\""
                + f.discovery.address()
                + "\","
                + Fixture.json(Fixture.list(1, true), settings, 1024).substring(1);
    }

    /** Has the proxy reload this as at SIGHUP; returns the files applied and rejected so far, as "1/0". */
    private String reload(Fixture f, String text) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        ProxyService.reload(
                f.config,
                f.proxy,
                f.loop,
                ConfigSource.of(Fixture.env(file, f.discovery.address())));
        return f.loop.submit(
                        () ->
                                f.proxy.figures().configApplied.get()
                                        + "/"
                                        + f.proxy.figures().configRejected.get())
                .get();
    }

    private static void receiveWrite(Peer node) throws IOException {
        node.line();
        node.expect("hello");
    }

    @Test
    void anAddedClassIsServedAndADroppedOneOnlyForAWhileByItsOldRules() throws Exception {
        try (Fixture f = new Fixture(1)) {
            assertEquals(
                    "1/0",
                    reload(
                            f,
                            file(
                                    f,
                                    SETTINGS.replace(
                                            "\"name\":\"charge\"", "\"name\":\"renew\""))));
            Peer client = f.client();
            client.send(Fixture.write("renew", "r1", 4000));
            Peer node = f.nodes.get(0).next();
            receiveWrite(node);
            node.send("HD Or1 c1\r\n");
            client.expect("HD Or1 c1");
            node.close();
            f.awaitInputProcessed();
            client.send(Fixture.write("charge", "c1", 4000));
            node = f.nodes.get(0).next();
            receiveWrite(node);
            node.reset();
            client.expect("SERVER_ERROR failed");
            f.loop.submit(() -> f.proxy.dropOldClasses()).get();
            client.send(Fixture.write("charge", "c2", 4000));
            client.expect("CLIENT_ERROR c, t or d is not known here");
            f.loop.submit(
                            () -> {
                                assertEquals(1, f.proxy.figures().forClass("renew").ok.get());
                                assertEquals(
                                        1,
                                        f.proxy.figures().forClass("charge").errors.get(),
                                        "a dropped class keeps its counters");
                            })
                    .get();
        }
    }

    @Test
    void anOpenRequestKeepsItsEffectAndAttemptsAndTheNextOneHasTheNewOnes() throws Exception {
        try (Fixture f = new Fixture(2)) {
            Peer client = f.client();
            // keyed with 4 attempts: may be sent again
            client.send(Fixture.write("submit", "s1", 4000));
            Peer node = f.next();
            receiveWrite(node);
            assertEquals(
                    "1/0",
                    reload(
                            f,
                            file(
                                    f,
                                    SETTINGS.replace(
                                                    "\"effect\":\"token\"",
                                                    "\"effect\":\"side_effect\"")
                                            .replace("\"maxAttempts\":4", "\"maxAttempts\":1"))));
            node.reset();
            Peer again = f.next();
            receiveWrite(again);
            again.send("HD Os1 c1\r\n");
            client.expect("HD Os1 c1");
            again.close();
            f.awaitInputProcessed();
            client.send(Fixture.write("submit", "s2", 4000));
            again = f.next();
            receiveWrite(again);
            again.reset();
            // no refusal, which would promise that the request never ran
            client.expect("SERVER_ERROR failed");
        }
    }

    @Test
    void aBrokenFileIsRejectedWholeAndALaterValidOneIsApplied() throws Exception {
        try (Fixture f = new Fixture(1)) {
            String good = file(f, SETTINGS.replace("\"name\":\"charge\"", "\"name\":\"renew\""));
            List<String> broken =
                    List.of(
                            "",
                            "{",
                            good.substring(0, good.length() - 30),
                            "[]",
                            "null",
                            good.replace("\"discovery\"", "\"discover\""),
                            good.replace("\"settings\"", "\"sittings\""),
                            good.replace("\"grades\"", "\"grade\""),
                            good.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":0"),
                            good.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":-5"),
                            good.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":\"soon\""),
                            good.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":\"5000\""),
                            good.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":null"),
                            good.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":[]"),
                            good.replace("\"deadlineMs\":5000.0,\"lateWorth\"", "\"lateWorth\""),
                            good.replace("\"maxAttempts\":4", "\"maxAttempts\":0"),
                            good.replace("\"maxAttempts\":4", "\"maxAttempts\":1.5"),
                            good.replace("\"maxAttempts\":4", "\"maxAttempts\":true"),
                            good.replace("\"maxAttempts\":4,", ""),
                            good.replace("\"name\":\"renew\"", "\"name\":\"lookup\""),
                            good.replace("\"tenants\":[", "\"tenants\":7,\"x\":["),
                            good.replace("\"mode\":\"through\"", "\"mode\":\"aside\""),
                            good.replace(
                                    "\"registryMode\":\"subscribe\"",
                                    "\"registryMode\":\"automatic\""));
            for (int i = 0; i < broken.size(); i++) {
                assertEquals("0/" + (i + 1), reload(f, broken.get(i)), broken.get(i));
            }
            Peer client = f.client();
            client.send(Fixture.write("renew", "r1", 4000));
            client.expect("CLIENT_ERROR c, t or d is not known here");
            assertEquals("1/" + broken.size(), reload(f, good));
            client.send(Fixture.write("renew", "r2", 4000));
            receiveWrite(f.nodes.get(0).next());
        }
    }

    @Test
    void aTenantKeepsItsIndexAndANewOneTakesThatOfARemovedOne() {
        Router.Tenant[] before = {tenant("a", 1), tenant("b", 2), tenant("c", 3)};
        Router.Tenant[] after =
                SettingsReload.keepTenantIndexes(
                        before, new Router.Tenant[] {tenant("c", 30), tenant("a", 10)});
        assertEquals(List.of("a 10.0", " 0.0", "c 30.0"), namesAndQuotas(after));
        assertEquals(
                List.of("a 10.0", "d 4.0", "c 30.0", "e 5.0"),
                namesAndQuotas(
                        SettingsReload.keepTenantIndexes(
                                after,
                                new Router.Tenant[] {
                                    tenant("a", 10), tenant("c", 30), tenant("d", 4), tenant("e", 5)
                                })));
    }

    private static Router.Tenant tenant(String name, double quota) {
        Router.Tenant t = new Router.Tenant();
        t.name = name;
        t.quotaPerS = quota;
        return t;
    }

    private static List<String> namesAndQuotas(Router.Tenant[] tenants) {
        return Arrays.stream(tenants).map(t -> t.name + " " + t.quotaPerS).toList();
    }

    @Test
    void theMessageNamesTheKey() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Path file = folder.resolve("config.json");
            Files.writeString(
                    file,
                    file(f, SETTINGS)
                            .replace("\"deadlineMs\":5000.0,\"lateWorth\"", "\"lateWorth\""));
            try {
                f.config.reload(Fixture.env(file, f.discovery.address()));
            } catch (holdproxy.input.BadInput e) {
                assertTrue(
                        e.getMessage().contains("settings.grades.0.deadlineMs is missing"),
                        e.getMessage());
                return;
            }
            throw new AssertionError("the configuration was accepted");
        }
    }

    /**
     * Keys may be present in some classes only, such as a repeat window only where repeats are discarded.
     */
    @Test
    void aKeyThatOnlySomeClassesHaveIsOptional() throws Exception {
        int charge = SETTINGS.indexOf("\"charge\"");
        String uneven =
                SETTINGS.substring(0, charge)
                        + SETTINGS.substring(charge).replaceFirst("\"repeatWindowMs\":5000.0,", "");
        try (Fixture f = new Fixture(1, s -> uneven, 1024)) {
            assertEquals("1/0", reload(f, file(f, uneven)));
            assertEquals(
                    "1/1",
                    reload(f, file(f, uneven.replace("\"deadlineMs\":5000.0", "\"deadline\":1"))));
        }
    }

    @Test
    void aShorterIdleTimeAppliesToConnectionsAlreadyIdle() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.nodes.get(0).next();
            node.line();
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            assertEquals(
                    "1/0",
                    reload(
                            f,
                            file(
                                    f,
                                    SETTINGS.replace(
                                            "\"idleCloseMs\":30000.0", "\"idleCloseMs\":100.0"))));
            node.expectEnd();
        }
    }
}
