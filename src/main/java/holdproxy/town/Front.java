package holdproxy.town;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** A simple load balancer in front of the proxies: spreads connections over those that are marked in use. */
public final class Front {
    private final List<InetSocketAddress> doors = new ArrayList<>();
    private final List<Boolean> used = new ArrayList<>();
    private final List<Integer> zones = new ArrayList<>();

    /** Adds a proxy that is not in use yet; returns its number. */
    public int door(InetSocketAddress address, int zone) {
        doors.add(address);
        zones.add(zone);
        used.add(false);
        return doors.size() - 1;
    }

    /** The address at which clients reach this proxy. */
    public InetSocketAddress address(int proxy) {
        return doors.get(proxy);
    }

    /** Sets whether new connections go to this proxy. */
    public void use(int proxy, boolean use) {
        used.set(proxy, use);
    }

    /** A random proxy in use in this zone; if there is none, one in use in any zone; else any proxy. */
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
