package holdproxy.simulation;

import holdproxy.fanout.AppendResult;
import holdproxy.fanout.ChangeLog;
import holdproxy.fanout.ChangeLogOperations;
import holdproxy.fanout.CoverageReport;
import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.MessageCodec;
import holdproxy.fanout.Position;
import holdproxy.fanout.Publication;
import holdproxy.fanout.RelayCandidate;
import holdproxy.fanout.Replica;
import holdproxy.fanout.Safeguard;
import holdproxy.fanout.Value;
import holdproxy.simulation.FanoutProcesses.Control;
import holdproxy.simulation.FanoutProcesses.Proxy;
import holdproxy.simulation.FanoutProcesses.SiteRelay;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;

/**
 * A fleet of control machines, relays and proxies in virtual time. Changes are published
 * continuously; faults drawn from a seed occur in the first half and are over before the last part,
 * by the end of which every proxy must hold the newest state.
 */
final class FanoutSimulation {
    private static final long SECOND_US = 1_000_000;
    private static final long FIRST_FAULT_US = 8 * SECOND_US;
    private static final long LAST_FAULT_US = 30 * SECOND_US;
    private static final long HEALED_US = 50 * SECOND_US;
    private static final long SETTLE_US = 50 * SECOND_US;
    private static final long HOUR_US = 3_600 * SECOND_US;

    /** One in this many seeds cuts off a region for an hour, in a smaller fleet. */
    private static final int SEEDS_PER_HOUR_CUT = 20;

    private static final int SEEDS_PER_DECODING = 8;
    private static final int MOST_FAULTS = 4;
    private static final int KEYS = 30;

    /**
     * Number of keys in runs that cut off a region for an hour: large enough that sending all snapshots
     * at once would exceed the rate limit.
     */
    private static final int KEYS_OF_HOUR = 120;

    private static final int LONGEST_VALUE = 300;
    private static final long CONTACT_US = 400_000;
    private static final long SAMPLE_US = 1_000_000;
    private static final long CATCH_UP_SAMPLE_US = 20_000;
    private static final int CREDIT_BYTES = 4_096;
    private static final int BURST_BYTES = 8_192;
    private static final long CATCH_UP_BYTES_PER_SECOND = 20_000;
    private static final int BURST_CHANGES = 40;
    private static final long BURST_GAP_US = 50_000;

    /** When a control machine with a superseded log comes back. */
    private static final long OUTDATED_BACK_US = 6 * SECOND_US;

    /** How long after its return operators remove it. */
    private static final long OUTDATED_REMOVED_US = 50 * SECOND_US;

    private static final int[] WINDOWS = {16, 64, 1_024};

    /**
     * The result of one seed.
     *
     * @param broken violated rules, each with the evidence
     * @param faults that were injected
     * @param publications that were attempted
     * @param refused publications rejected because of their token
     * @param caughtUpMs for each cut of a region, the time until all its proxies held the state
     *     that was newest when the cut ended
     * @param mostBytesASecond most bytes that a control machine sent in any second after the first
     *     of these cuts
     */
    record Outcome(
            List<String> broken,
            Set<FanoutFault> faults,
            int proxies,
            long publications,
            long refused,
            List<Long> caughtUpMs,
            long mostBytesASecond) {}

    /** The size of a fleet. */
    record Shape(int regions, int sitesPerRegion, int proxiesPerSite) {
        int proxies() {
            return regions * sitesPerRegion * proxiesPerSite;
        }
    }

    private final SimulatedClock time = new SimulatedClock();
    private final Random random;
    private final Shape shape;
    private final FanoutSettings settings;
    private final Set<Safeguard> safeguards;
    private final FanoutChecker checker;
    private final FanoutNetwork network;
    private final FanoutProcesses.Environment environment;
    private final Set<FanoutFault> faults = EnumSet.noneOf(FanoutFault.class);

    private final List<Control> controls = new ArrayList<>();
    private final List<SiteRelay> relays = new ArrayList<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<RelayCandidate> controlCandidates = new ArrayList<>();
    private final Map<String, List<RelayCandidate>> relayCandidates = new TreeMap<>();
    private final Set<FanoutNode> unharmed = new HashSet<>();

    /** The log that the majority of control machines has agreed on. */
    private ChangeLog authority;

    private List<List<Object>> operations = new ArrayList<>();
    private long epoch = 1;
    private long token = 1;
    private long publications;
    private long publishEveryUs;
    private int keys = KEYS;
    private final TreeMap<String, Value> wanted = new TreeMap<>();

    /** A control machine that continues with a superseded log. */
    private Control outdated;

    private boolean agesAreChecked = true;
    private boolean publishingHasEnded;
    private final List<Long> caughtUpMs = new ArrayList<>();
    private long firstReunionUs = Long.MAX_VALUE;

    private FanoutSimulation(
            long seed, Shape shape, Set<Safeguard> safeguards, Histogram inForceMs) {
        random = new Random(seed * 0x9e3779b97f4a7c15L);
        this.shape = shape;
        this.safeguards = safeguards;
        publishEveryUs = SECOND_US / 2 + random.nextInt(2_000_000);
        int window = WINDOWS[random.nextInt(WINDOWS.length)];
        FanoutSettings.Limits defaults = FanoutSettings.DEFAULTS.limits();
        settings =
                new FanoutSettings(
                        new FanoutSettings.Limits(
                                defaults.keyBytes(),
                                defaults.valueBytes(),
                                CREDIT_BYTES,
                                defaults.changeKeys(),
                                defaults.stateKeys(),
                                defaults.stateBytes(),
                                window,
                                defaults.windowBytes(),
                                defaults.rememberedPublications(),
                                defaults.nameBytes(),
                                defaults.reasonCharacters(),
                                defaults.reportedPositions(),
                                defaults.reportedRejections(),
                                defaults.frameBytes()),
                        FanoutSettings.DEFAULTS
                                .relay()
                                .withBounds(
                                        2 * shape.sitesPerRegion * shape.proxiesPerSite + 10,
                                        CREDIT_BYTES,
                                        CATCH_UP_BYTES_PER_SECOND,
                                        BURST_BYTES),
                        FanoutSettings.DEFAULTS.subscriber());
        checker = new FanoutChecker(time, CREDIT_BYTES, inForceMs);
        boolean decodes = seed % SEEDS_PER_DECODING == 0;
        network =
                new FanoutNetwork(
                        time, random, new MessageCodec(settings.limits()), decodes, checker);
        environment =
                new FanoutProcesses.Environment(
                        time, random, network, settings, safeguards, checker);
    }

    /** A fleet under faults that are drawn from the seed. */
    static Outcome play(long seed, Set<Safeguard> safeguards) {
        boolean hour = seed % SEEDS_PER_HOUR_CUT == 0;
        Random shapes = new Random(seed);
        Shape shape =
                hour
                        ? new Shape(3, 6, 1 + shapes.nextInt(3))
                        : new Shape(
                                2 + shapes.nextInt(2),
                                2 + shapes.nextInt(2),
                                5 + shapes.nextInt(16));
        FanoutSimulation simulation = new FanoutSimulation(seed, shape, safeguards, null);
        simulation.start();
        if (hour) {
            simulation.publishEveryUs = 5 * SECOND_US;
            simulation.keys = KEYS_OF_HOUR;
            simulation.time.schedule(FIRST_FAULT_US, () -> simulation.cutRegion(HOUR_US));
            simulation.finish(FIRST_FAULT_US + HOUR_US + SECOND_US);
        } else {
            boolean epochAnew = simulation.drawFaults().contains(FanoutFault.EPOCH_ANEW);
            simulation.finish(epochAnew ? LAST_FAULT_US + OUTDATED_REMOVED_US : HEALED_US);
        }
        return simulation.outcome();
    }

    /** Runs a fleet with a single fault at a relay and nothing else; null for no fault. */
    static void recordInForce(long seed, Shape shape, FanoutFault fault, Histogram inForceMs) {
        FanoutSimulation simulation = new FanoutSimulation(seed, shape, Safeguard.all(), inForceMs);
        simulation.start();
        if (fault != null) {
            simulation.time.schedule(FIRST_FAULT_US, () -> simulation.inject(fault));
        }
        simulation.finish(HEALED_US);
        if (!simulation.checker.violations().isEmpty()) {
            throw new IllegalStateException(
                    "seed " + seed + ": " + simulation.checker.violations().get(0));
        }
    }

    private Outcome outcome() {
        long mostBytesASecond =
                controls.stream()
                        .mapToLong(
                                c -> checker.mostBytesASecond(c.name, firstReunionUs / SECOND_US))
                        .max()
                        .orElse(0);
        return new Outcome(
                checker.violations(),
                faults,
                proxies.size(),
                publications,
                checker.refusedPublications(),
                caughtUpMs,
                firstReunionUs == Long.MAX_VALUE ? 0 : mostBytesASecond);
    }

    // ---- the fleet ----

    private void start() {
        for (int r = 0; r < shape.regions; r++) {
            String region = "region-" + r;
            controlCandidates.add(new RelayCandidate("control-" + r, "", region));
            relayCandidates.put(region, new ArrayList<>());
            for (int s = 0; s < shape.sitesPerRegion; s++) {
                String site = region + "-site-" + s;
                relayCandidates.get(region).add(new RelayCandidate("relay-" + site, "", site));
            }
        }
        createLog();
        for (RelayCandidate each : controlCandidates) {
            controls.add(newControl(each));
        }
        boolean atOnce = random.nextBoolean();
        relayCandidates.forEach(
                (region, candidates) -> {
                    for (RelayCandidate each : candidates) {
                        time.schedule(
                                atOnce ? 0 : random.nextInt(2_000_000),
                                () -> startSite(region, each.site()));
                    }
                });
        contact();
        time.schedule(SECOND_US, this::publishNext);
        time.schedule(SAMPLE_US, this::sample);
    }

    private void startSite(String region, String site) {
        startRelay(region, site);
        for (int p = 0; p < shape.proxiesPerSite; p++) {
            startProxy(region, site, p, new Replica(settings.limits()));
        }
    }

    private void startRelay(String region, String site) {
        SiteRelay relay = new SiteRelay(environment, "relay-" + site, region, site);
        relays.add(relay);
        // a relay prefers the control machine of its own region
        relay.start(
                controlCandidates.stream()
                        .map(
                                c ->
                                        c.site().equals(region)
                                                ? new RelayCandidate(c.name(), c.address(), site)
                                                : c)
                        .toList());
    }

    private void startProxy(String region, String site, int number, Replica restored) {
        Proxy proxy =
                new Proxy(
                        environment,
                        "proxy-" + site + "-" + number,
                        region,
                        site,
                        number % Proxy.GROUPS,
                        restored);
        proxies.add(proxy);
        unharmed.add(proxy);
        proxy.start(relayCandidates.get(region));
    }

    private Control newControl(RelayCandidate at) {
        return new Control(
                environment, at.name(), at.site(), new ChangeLog(settings.limits(), safeguards), 0);
    }

    /**
     * A control machine notified of the agreed operations knows how current its log is; those that
     * are cut off are not notified.
     */
    private void contact() {
        replicate();
        time.schedule(CONTACT_US, this::contact);
    }

    private boolean reachesMajority(Control one) {
        long reached =
                controls.stream()
                        .filter(
                                other ->
                                        !other.ended
                                                && network.reaches(other, one)
                                                && network.reaches(one, other))
                        .count();
        return 2 * reached > controls.size();
    }

    // ---- publishing ----

    private void createLog() {
        authority = new ChangeLog(settings.limits(), safeguards);
        operations = new ArrayList<>();
        List<Object> found = ChangeLogOperations.initialize(epoch);
        checker.logCreated(authorityAnswer(found));
        operations.add(found);
    }

    private Position authorityAnswer(List<Object> operation) {
        AppendResult result =
                ChangeLogOperations.decodeResult(ChangeLogOperations.apply(authority, operation));
        return ((AppendResult.Appended) result).position();
    }

    private void publishNext() {
        if (publishingHasEnded) {
            return;
        }
        publish(token, "p-" + publications++, drawChange(), random.nextInt(10) == 0);
        time.schedule(
                publishEveryUs / 2 + (long) (random.nextDouble() * publishEveryUs),
                this::publishNext);
    }

    private TreeMap<String, Value> drawChange() {
        TreeMap<String, Value> puts = new TreeMap<>();
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            byte[] value = new byte[random.nextInt(LONGEST_VALUE)];
            random.nextBytes(value);
            puts.put("key-" + random.nextInt(keys), Value.of(value));
        }
        if (random.nextInt(5) == 0) {
            puts.put(Proxy.FORBIDDEN, Value.of(String.valueOf(random.nextInt(2 * Proxy.GROUPS))));
        }
        return puts;
    }

    private void publish(long underToken, String id, TreeMap<String, Value> puts, boolean twice) {
        TreeSet<String> deletes = new TreeSet<>();
        String removed = "key-" + random.nextInt(keys);
        if (random.nextInt(4) == 0 && !puts.containsKey(removed)) {
            deletes.add(removed);
        }
        Publication publication = new Publication(underToken, id, puts, deletes);
        for (int i = twice ? 2 : 1; i > 0; i--) {
            List<Object> operation = ChangeLogOperations.append(publication);
            AppendResult result =
                    ChangeLogOperations.decodeResult(
                            ChangeLogOperations.apply(authority, operation));
            operations.add(operation);
            if (result instanceof AppendResult.Appended appended) {
                if (!appended.repeated()) {
                    checker.committed(appended.position(), publication);
                    wanted.putAll(puts);
                    deletes.forEach(wanted::remove);
                }
            } else {
                checker.publicationRejected();
            }
        }
        replicate();
    }

    private void replicate() {
        for (Control each : controls) {
            if (each != outdated && !each.ended && reachesMajority(each)) {
                List<List<Object>> agreed = operations;
                time.schedule(
                        network.delayUs(each, controls.get(0)),
                        () ->
                                each.run(
                                        () ->
                                                each.catchUp(
                                                        agreed == operations
                                                                ? operations
                                                                : List.of())));
            }
        }
    }

    // ---- faults ----

    private Set<FanoutFault> drawFaults() {
        FanoutFault[] kinds = FanoutFault.values();
        Set<FanoutFault> drawn = EnumSet.noneOf(FanoutFault.class);
        for (int i = 1 + random.nextInt(MOST_FAULTS); i > 0; i--) {
            FanoutFault kind = kinds[random.nextInt(kinds.length)];
            drawn.add(kind);
            time.schedule(
                    FIRST_FAULT_US
                            + (long) (random.nextDouble() * (LAST_FAULT_US - FIRST_FAULT_US)),
                    () -> inject(kind));
        }
        return drawn;
    }

    private void inject(FanoutFault kind) {
        faults.add(kind);
        long forUs = SECOND_US + (long) (random.nextDouble() * 15 * SECOND_US);
        switch (kind) {
            case RELAY_KILLED -> endRelay(anyRelay(), true, forUs);
            case RELAY_VANISHED -> endRelay(anyRelay(), false, forUs);
            case RELAY_STOPPED -> anyRelay().suspend(10 * SECOND_US);
            case RELAY_CUT_ONE_WAY -> cutOneWay(anyRelay(), random.nextBoolean(), forUs);
            case REGION_CUT -> cutRegion(forUs);
            case OLD_HOLDER -> publishAsOldHolder();
            case SLOW_READER -> {
                harmed(any(proxies)).suspend(forUs + 5 * SECOND_US);
                publishBurst(BURST_CHANGES);
            }
            case CONTROL_LOST -> endControl(any(currentControls()), forUs);
            case DUPLICATES_AND_REORDERING -> scramble(forUs);
            case ALL_AT_ONCE -> restartProxies(List.copyOf(running(proxies)), 0);
            case SITE_RESTARTED -> restartSite(anyRelay(), forUs / 4);
            case EPOCH_ANEW -> loseDisks();
            default -> throw new IllegalStateException("no such fault: " + kind);
        }
    }

    private <N extends FanoutNode> List<N> running(List<N> nodes) {
        return nodes.stream().filter(node -> !node.ended).toList();
    }

    private <N extends FanoutNode> N any(List<N> nodes) {
        List<N> living = running(nodes);
        return living.get(random.nextInt(living.size()));
    }

    /** The control machines whose log is not superseded. */
    private List<Control> currentControls() {
        return controls.stream().filter(control -> control != outdated).toList();
    }

    private SiteRelay anyRelay() {
        return any(relays);
    }

    private <N extends FanoutNode> N harmed(N node) {
        unharmed.remove(node);
        return node;
    }

    private void end(FanoutNode node, boolean said) {
        node.ended = true;
        network.ended(node, said);
    }

    private void endRelay(SiteRelay relay, boolean said, long forUs) {
        end(relay, said);
        time.schedule(forUs, () -> startRelay(relay.region, relay.site));
    }

    private void cutOneWay(FanoutNode node, boolean outwards, long forUs) {
        network.cut(node.name, outwards, 1);
        time.schedule(forUs, () -> network.cut(node.name, outwards, -1));
    }

    private void cutRegion(long forUs) {
        faults.add(FanoutFault.REGION_CUT);
        String region = "region-" + random.nextInt(shape.regions);
        network.cutRegion(region, true);
        time.schedule(
                forUs,
                () -> {
                    network.cutRegion(region, false);
                    firstReunionUs = Math.min(firstReunionUs, time.nowUs());
                    measureCatchUp(region, time.nowUs(), checker.newest());
                });
    }

    private void measureCatchUp(String region, long sinceUs, Position wantedPosition) {
        boolean reached =
                running(proxies).stream()
                        .filter(p -> p.region.equals(region))
                        .noneMatch(p -> wantedPosition.isAfter(p.subscriber.replica().position()));
        if (reached) {
            caughtUpMs.add((time.nowUs() - sinceUs) / 1000);
        } else {
            time.schedule(
                    CATCH_UP_SAMPLE_US, () -> measureCatchUp(region, sinceUs, wantedPosition));
        }
    }

    private void publishAsOldHolder() {
        long old = token;
        token++;
        publishNow();
        time.schedule(
                random.nextInt(3_000_000),
                () -> publish(old, "old-" + publications++, drawChange(), false));
    }

    private void publishNow() {
        publish(token, "p-" + publications++, drawChange(), false);
    }

    /** A burst of consecutive changes. */
    private void publishBurst(int changes) {
        publishNow();
        if (changes > 1) {
            time.schedule(BURST_GAP_US, () -> publishBurst(changes - 1));
        }
    }

    private void endControl(Control control, long forUs) {
        List<Object> disk = control.log.snapshot(1_000);
        List<List<Object>> agreed = operations;
        end(control, random.nextBoolean());
        time.schedule(
                forUs,
                () -> {
                    boolean sameLog = agreed == operations;
                    ChangeLog log = new ChangeLog(settings.limits(), safeguards);
                    if (sameLog) {
                        log.restore(disk);
                    }
                    controls.set(
                            controls.indexOf(control),
                            new Control(
                                    environment,
                                    control.name,
                                    control.region,
                                    log,
                                    sameLog ? control.applied : 0));
                });
    }

    private void scramble(long forUs) {
        SiteRelay relay = anyRelay();
        List<FanoutNode> met = new ArrayList<>(List.of(relay));
        proxies.stream().filter(p -> p.site.equals(relay.site)).forEach(met::add);
        for (FanoutNode each : met) {
            checker.ignoreCreditOf(each.name);
            network.scramble(each.name, true);
            time.schedule(forUs, () -> network.scramble(each.name, false));
        }
    }

    /** Ends processes and starts them again, with the state they had received or with none. */
    private void restartProxies(List<Proxy> those, long afterUs) {
        boolean keep = random.nextBoolean();
        for (Proxy each : those) {
            end(each, true);
            Replica kept =
                    keep
                            ? Replica.restored(
                                    settings.limits(),
                                    each.subscriber.replica().position(),
                                    each.subscriber.replica().entries())
                            : new Replica(settings.limits());
            proxies.remove(each);
            int number = Integer.parseInt(each.name.substring(each.name.lastIndexOf('-') + 1));
            time.schedule(
                    afterUs + random.nextInt(100_000),
                    () -> startProxy(each.region, each.site, number, kept));
        }
    }

    private void restartSite(SiteRelay relay, long forUs) {
        endRelay(relay, true, forUs);
        restartProxies(
                running(proxies).stream().filter(p -> p.site.equals(relay.site)).toList(), forUs);
    }

    /**
     * All control machines lose their disks except one that is cut off. When it comes back, its
     * relays have moved on to the new log, and it serves the old one until operators remove it.
     */
    private void loseDisks() {
        if (outdated != null || running(controls).size() < controls.size()) {
            return;
        }
        agesAreChecked = false;
        outdated = any(controls);
        epoch++;
        List<RelayCandidate> lost =
                controlCandidates.stream().filter(c -> !c.name().equals(outdated.name)).toList();
        running(controls).stream().filter(c -> c != outdated).forEach(c -> end(c, true));
        cutOneWay(outdated, true, OUTDATED_BACK_US);
        cutOneWay(outdated, false, OUTDATED_BACK_US);
        keepOutdatedInContact();
        createLog();
        for (RelayCandidate each : lost) {
            controls.set(controlCandidates.indexOf(each), newControl(each));
        }
        for (Map.Entry<String, Value> entry : List.copyOf(wanted.entrySet())) {
            TreeMap<String, Value> puts = new TreeMap<>(Map.of(entry.getKey(), entry.getValue()));
            publish(token, "p-" + publications++, puts, false);
        }
        time.schedule(OUTDATED_REMOVED_US, this::removeOutdated);
    }

    /** It believes that its state is the newest. */
    private void keepOutdatedInContact() {
        if (outdated != null) {
            outdated.run(() -> outdated.catchUp(List.of()));
            time.schedule(CONTACT_US, this::keepOutdatedInContact);
        }
    }

    private void removeOutdated() {
        Control removed = outdated;
        end(removed, true);
        outdated = null;
        int at = controls.indexOf(removed);
        controls.set(at, newControl(controlCandidates.get(at)));
    }

    // ---- checking ----

    private void sample() {
        for (SiteRelay each : running(relays)) {
            checkWindow(each.name, each.subscriber.replica());
            if (each.relay.status(time.nowUs()).subscribers() > settings.relay().maxSubscribers()) {
                checker.reportViolation(each.name + " serves more than it may");
            }
        }
        if (agesAreChecked) {
            for (Proxy each : running(proxies)) {
                if (unharmed.contains(each)) {
                    long ageUs = each.subscriber.ageUs(time.nowUs());
                    checker.checkReportedAge(
                            each.name,
                            each.subscriber.replica().position(),
                            Math.min(ageUs, time.nowUs()));
                }
            }
        }
        time.schedule(SAMPLE_US, this::sample);
    }

    private void checkWindow(String name, Replica replica) {
        if (replica.windowChanges() > settings.limits().windowChanges()
                || replica.windowBytes() > settings.limits().windowBytes()) {
            checker.reportViolation(name + " keeps " + replica.windowChanges() + " changes");
        }
    }

    private void finish(long healedUs) {
        time.run(healedUs + SETTLE_US - 10 * SECOND_US);
        publishingHasEnded = true;
        int group = random.nextInt(Proxy.GROUPS);
        publish(
                token,
                "last",
                new TreeMap<>(Map.of(Proxy.FORBIDDEN, Value.of(String.valueOf(group)))),
                false);
        time.run(healedUs + SETTLE_US);
        for (Control each : controls) {
            checker.checkFinalState(each.name, each.log.position(), each.log.replica().entries());
            checker.checkSendRate(
                    each.name,
                    CATCH_UP_BYTES_PER_SECOND,
                    BURST_BYTES,
                    shape.regions * shape.sitesPerRegion);
        }
        for (SiteRelay each : running(relays)) {
            checker.checkSendRate(
                    each.name,
                    CATCH_UP_BYTES_PER_SECOND,
                    BURST_BYTES,
                    shape.sitesPerRegion * shape.proxiesPerSite);
        }
        for (Proxy each : proxies) {
            checker.checkFinalState(
                    each.name,
                    each.subscriber.replica().position(),
                    each.subscriber.replica().entries());
        }
        checkReport(group);
    }

    /**
     * Checks that the control machines together know how many proxies have the last change in force
     * and which ones reject it.
     */
    private void checkReport(int group) {
        List<CoverageReport> reports = new ArrayList<>();
        controls.forEach(each -> reports.add(each.relay.report()));
        CoverageReport all = CoverageReport.merge(reports, settings.limits());
        List<String> rejecting =
                proxies.stream().filter(p -> p.group == group).map(p -> p.name).sorted().toList();
        List<String> named = all.rejections().stream().map(r -> r.name()).toList();
        int names = Math.min(rejecting.size(), settings.limits().reportedRejections());
        long inForce = all.countInForceAtOrAfter(checker.newest());
        if (all.proxies() != proxies.size()
                || inForce != proxies.size() - rejecting.size()
                || all.rejecting() != rejecting.size()
                || !named.equals(rejecting.subList(0, names))) {
            checker.reportViolation(
                    "status reports the change in force at "
                            + inForce
                            + " of "
                            + all.proxies()
                            + ", rejected at "
                            + all.rejecting()
                            + " "
                            + named
                            + ", but there are "
                            + proxies.size()
                            + " proxies, of which "
                            + rejecting
                            + " reject it");
        }
    }
}
