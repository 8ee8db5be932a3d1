package holdproxy.lab;

import java.util.List;

/** Lets the faults of a scenario happen in a town. */
final class Troubles {
    /** A drained node's process ends so long after, and its successor starts so long after that. */
    private static final double DRAIN_S = 3;
    private static final double SUCCEEDS_S = 0.5;
    /** Discovery lists a started node so long after, and a drain. */
    private static final double ADDED_S = 1.5;
    private static final double TOLD_S = 0.1;

    private final Town town;

    private Troubles(Town town) {
        this.town = town;
    }

    static void plan(Town town, List<Fault> faults) {
        Troubles troubles = new Troubles(town);
        faults.forEach(f -> town.at(f.atS(), () -> troubles.happen(f)));
    }

    /** So many seconds from now. */
    private void later(double seconds, Runnable task) {
        town.loop.after((long) (seconds * 1e6), task);
    }

    /** At the fault's end, unless it has none. */
    private void after(Fault f, Runnable task) {
        if (f.forS() > 0) {
            later(f.forS(), task);
        }
    }

    private void happen(Fault f) {
        switch (f.kind()) {
            case RESTART -> town.proxies.get(f.target()).restart((long) (f.forS() * 1e6));
            case KILL -> town.proxies.get(f.target()).kill((long) (f.noticedS() * 1e6),
                (long) (f.forS() * 1e6));
            case HOLD -> town.proxies.get(f.target()).hold((long) (f.forS() * 1e6));
            case DISCOVERY_DOWN -> {
                town.discovery.down(true);
                after(f, () -> town.discovery.down(false));
            }
            case SURGE -> {
                town.clients.surge(f.target(), f.times());
                after(f, () -> town.clients.surge(f.target(), 1));
            }
            case RETUNE -> {
                town.proxies.forEach(p -> p.retune(1));
                after(f, () -> town.proxies.forEach(p -> p.retune(Town.ATTEMPTS)));
            }
            case HOT_KEY -> {
                town.clients.hot(f.part());
                after(f, () -> town.clients.hot(0));
            }
            default -> {
                int count = f.count(town.nodes.size());
                for (int i = 0; i < count; i++) {
                    int place = (f.target() + i) % town.nodes.size();
                    if (f.kind() == Fault.Kind.REPLACE) {
                        later(f.forS() * i / count, () -> replace(place));
                    } else {
                        atNode(f, place);
                    }
                }
            }
        }
    }

    private void atNode(Fault f, int place) {
        CacheNode node = town.nodes.get(place);
        switch (f.kind()) {
            case CRASH -> {
                node.end("crash");
                later(f.noticedS(), () -> town.relist(node));
                after(f, () -> {
                    if (!node.up() && town.nodes.get(place) == node) {
                        node.startCold();
                        later(ADDED_S, () -> town.relist(node));
                    }
                });
            }
            case SILENT -> {
                town.cut(node, true);
                later(f.noticedS(), () -> town.relist(node));
                after(f, () -> {
                    town.cut(node, false);
                    later(ADDED_S, () -> town.relist(node));
                });
            }
            case LEAVE_OUT -> leaveOut(f, node, place);
            case RESETS -> {
                town.resets(node, f.chance());
                after(f, () -> town.resets(node, 0));
            }
            default -> {
                node.slow(f.times());
                after(f, () -> node.slow(1));
            }
        }
    }

    private void leaveOut(Fault f, CacheNode node, int place) {
        town.proxies.forEach(p -> p.leaveOut(node.name, true));
        later(DRAIN_S / 2, () -> {
            if (node.up() && town.nodes.get(place) == node) {
                node.end("end");
                later(SUCCEEDS_S, () -> {
                    if (!node.up() && town.nodes.get(place) == node) {
                        node.startCold();
                        later(ADDED_S, () -> town.relist(node));
                    }
                });
            }
        });
        after(f, () -> town.proxies.forEach(p -> p.leaveOut(node.name, false)));
    }

    private void replace(int place) {
        CacheNode node = town.nodes.get(place);
        if (!node.up() || node.drains()) {
            return;
        }
        node.drain();
        later(TOLD_S, () -> town.relist(node));
        later(DRAIN_S, () -> {
            node.end("end");
            town.relist(node);
            later(SUCCEEDS_S, () -> {
                CacheNode successor = town.successor(place);
                successor.startCold();
                later(ADDED_S, () -> town.relist(successor));
            });
        });
    }
}
