package holdproxy.simulation;

import holdproxy.emulator.CacheNode;
import holdproxy.emulator.Event;
import holdproxy.emulator.ProxyConfig;
import java.util.List;
import java.util.stream.IntStream;

/** Schedules and applies the faults of a scenario in a simulated site. */
final class FaultInjector {
    /** Delay from a drain to the end of the node's process, and from there to its successor's start. */
    private static final double DRAIN_S = 3;

    private static final double SUCCEEDS_S = 0.5;

    /** Delay after which discovery lists a started node, or a drain. */
    private static final double ADDED_S = 1.5;

    private static final double TOLD_S = 0.1;

    private final SimulatedSite site;

    private FaultInjector(SimulatedSite site) {
        this.site = site;
    }

    static void scheduleAll(SimulatedSite site, List<Fault> faults) {
        FaultInjector injector = new FaultInjector(site);
        faults.forEach(f -> site.schedule(f.atS(), () -> injector.apply(f)));
    }

    /** Schedules a task this many seconds from now. */
    private void schedule(double seconds, Runnable task) {
        site.loop.schedule((long) (seconds * 1e6), task);
    }

    /** Schedules a task at the fault's end, unless it has none. */
    private void scheduleEnd(Fault f, Runnable task) {
        if (f.forS() > 0) {
            schedule(f.forS(), task);
        }
    }

    private void apply(Fault f) {
        switch (f.kind()) {
            case RESTART -> proxies(f).forEach(p -> p.restart((long) (f.forS() * 1e6)));
            case KILL ->
                    proxies(f)
                            .forEach(
                                    p ->
                                            p.kill(
                                                    (long) (f.noticedS() * 1e6),
                                                    (long) (f.forS() * 1e6)));
            case HOLD -> site.proxies.get(f.target()).pause((long) (f.forS() * 1e6));
            case DISCOVERY_DOWN -> {
                site.discovery.setDown(true);
                scheduleEnd(f, () -> site.discovery.setDown(false));
            }
            case SURGE -> {
                site.clients.setRateFactor(f.target(), f.times());
                scheduleEnd(f, () -> site.clients.setRateFactor(f.target(), 1));
            }
            case RETUNE -> {
                site.proxies.forEach(p -> p.reload(1));
                scheduleEnd(f, () -> site.proxies.forEach(p -> p.reload(ProxyConfig.MAX_ATTEMPTS)));
            }
            case ZONE_DEAD, ZONE_LOST, ZONE_SILENT -> applyZoneOutage(f);
            case ZONE_CUT -> {
                cut(f, true);
                cut(f, false);
            }
            case ZONE_CUT_IN -> cut(f, true);
            case ZONE_CUT_OUT -> cut(f, false);
            case ZONE_GRAY -> {
                recordFault(f, "gray");
                site.zones.degradeLinks(f.target(), f.chance(), f.times());
                scheduleEnd(
                        f,
                        () -> {
                            site.zones.degradeLinks(f.target(), 0, 1);
                            recordFault(f, "sound");
                        });
            }
            case HOT_KEY -> {
                site.clients.setHotKeyShare(f.part());
                scheduleEnd(f, () -> site.clients.setHotKeyShare(0));
            }
            default -> {
                int count = f.count(site.nodes.size());
                for (int i = 0; i < count; i++) {
                    int place = (f.target() + i) % site.nodes.size();
                    if (f.kind() == Fault.Kind.REPLACE) {
                        schedule(f.forS() * i / count, () -> replace(place));
                    } else {
                        applyToNode(f, place);
                    }
                }
            }
        }
    }

    private List<ProxyProcess> proxies(Fault f) {
        int all = site.proxies.size();
        return IntStream.range(0, f.count(all))
                .mapToObj(i -> site.proxies.get((f.target() + i) % all))
                .toList();
    }

    private void recordFault(Fault f, String what) {
        site.record.add(site.loop.nowUs(), Event.Kind.FAULT, "zone-" + f.target(), "", what);
    }

    private void cut(Fault f, boolean inwards) {
        String way = inwards ? " inwards" : " outwards";
        recordFault(f, "cut" + way);
        site.zones.cut(f.target(), inwards, true);
        scheduleEnd(
                f,
                () -> {
                    site.zones.cut(f.target(), inwards, false);
                    recordFault(f, "joined" + way);
                });
    }

    /**
     * The processes are killed, or cut off and back cold or with their state. Discovery and the front
     * notice later.
     */
    private void applyZoneOutage(Fault f) {
        boolean dead = f.kind() == Fault.Kind.ZONE_DEAD;
        List<CacheNode> nodes =
                site.nodes.stream().filter(n -> n.zone == f.target() && n.isUp()).toList();
        List<ProxyProcess> proxies =
                site.proxies.stream().filter(p -> p.zone == f.target()).toList();
        recordFault(f, dead ? "dead" : "silent");
        if (dead) {
            nodes.forEach(n -> n.stop("crash"));
            proxies.forEach(p -> p.kill((long) (f.noticedS() * 1e6), (long) (f.forS() * 1e6)));
        } else {
            site.zones.silent(f.target(), true);
        }
        schedule(
                f.noticedS(),
                () -> {
                    nodes.forEach(site::publishNodeState);
                    if (!dead && site.zones.silent(f.target())) {
                        proxies.forEach(p -> p.setForwarding(false));
                    }
                });
        scheduleEnd(
                f,
                () -> {
                    site.zones.silent(f.target(), false);
                    recordFault(f, "back");
                    if (f.kind() == Fault.Kind.ZONE_LOST) {
                        nodes.forEach(n -> n.stop("crash"));
                        proxies.forEach(p -> p.kill(0, 0));
                    } else if (!dead) {
                        proxies.forEach(p -> p.setForwarding(true));
                    }
                    if (f.kind() != Fault.Kind.ZONE_SILENT) {
                        // the position may have another node by now, which may already be up
                        nodes.stream()
                                .filter(n -> !n.isUp() && site.nodes.contains(n))
                                .forEach(CacheNode::startCold);
                    }
                    schedule(ADDED_S, () -> nodes.forEach(site::publishNodeState));
                });
    }

    private void applyToNode(Fault f, int place) {
        CacheNode node = site.nodes.get(place);
        switch (f.kind()) {
            case CRASH -> {
                node.stop("crash");
                schedule(f.noticedS(), () -> site.publishNodeState(node));
                scheduleEnd(
                        f,
                        () -> {
                            if (!node.isUp() && site.nodes.get(place) == node) {
                                node.startCold();
                                schedule(ADDED_S, () -> site.publishNodeState(node));
                            }
                        });
            }
            case SILENT -> {
                site.setDisconnected(node, true);
                schedule(f.noticedS(), () -> site.publishNodeState(node));
                scheduleEnd(
                        f,
                        () -> {
                            site.setDisconnected(node, false);
                            schedule(ADDED_S, () -> site.publishNodeState(node));
                        });
            }
            case LEAVE_OUT -> leaveOut(f, node, place);
            case RESETS -> {
                site.setResetProbability(node, f.chance());
                scheduleEnd(f, () -> site.setResetProbability(node, 0));
            }
            default -> {
                node.setSlowdown(f.times());
                scheduleEnd(f, () -> node.setSlowdown(1));
            }
        }
    }

    private void leaveOut(Fault f, CacheNode node, int place) {
        site.proxies.forEach(p -> p.leaveOut(node.name, true));
        schedule(
                DRAIN_S / 2,
                () -> {
                    if (node.isUp() && site.nodes.get(place) == node) {
                        node.stop("end");
                        schedule(
                                SUCCEEDS_S,
                                () -> {
                                    if (!node.isUp() && site.nodes.get(place) == node) {
                                        node.startCold();
                                        schedule(ADDED_S, () -> site.publishNodeState(node));
                                    }
                                });
                    }
                });
        scheduleEnd(f, () -> site.proxies.forEach(p -> p.leaveOut(node.name, false)));
    }

    private void replace(int place) {
        CacheNode node = site.nodes.get(place);
        if (!node.isUp() || node.isDraining()) {
            return;
        }
        node.drain();
        schedule(TOLD_S, () -> site.publishNodeState(node));
        schedule(
                DRAIN_S,
                () -> {
                    node.stop("end");
                    site.publishNodeState(node);
                    schedule(
                            SUCCEEDS_S,
                            () -> {
                                CacheNode successor = site.successor(place);
                                successor.startCold();
                                schedule(ADDED_S, () -> site.publishNodeState(successor));
                            });
                });
    }
}
