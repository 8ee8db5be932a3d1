package holdproxy.town;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** The plain layer before the proxies: spreads connections over those it believes up, and learns late. */
public final class Front {
    private final List<InetSocketAddress> doors = new ArrayList<>();
    private final List<Boolean> used = new ArrayList<>();
    private final List<Integer> zones = new ArrayList<>();

    /** One more proxy, not used yet; returns its number. */
    public int door(InetSocketAddress address, int zone) {
        doors.add(address);
        zones.add(zone);
        used.add(false);
        return doors.size() - 1;
    }

    /** Where clients reach this proxy. */
    public InetSocketAddress address(int proxy) {
        return doors.get(proxy);
    }

    /** Whether this proxy is given new connections. */
    public void use(int proxy, boolean use) {
        used.set(proxy, use);
    }

    /** A proxy by chance among those in use in this zone; else in any; among all where none is in use. */
    public int pick(SplittableRandom random, int zone) {
        int near = count(i -> used.get(i) && zones.get(i) == zone);
        int up = count(used::get);
        if (up == 0) {
            return random.nextInt(doors.size());
        }
        int left = random.nextInt(near > 0 ? near : up);
        for (int i = 0; ; i++) {
            if (used.get(i) && (near == 0 || zones.get(i) == zone) && left-- == 0) {
                return i;
            }
        }
    }

    private int count(IntPredicate so) {
        return (int) IntStream.range(0, doors.size()).filter(so).count();
    }
}
