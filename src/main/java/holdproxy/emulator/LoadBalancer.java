package holdproxy.emulator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** A simple load balancer: spreads connections over proxies marked in use; callers update the marks late. */
public final class LoadBalancer {
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<Boolean> inUse = new ArrayList<>();
    private final List<Integer> zones = new ArrayList<>();

    /** Adds a proxy that is not in use yet; returns its number. */
    public int addProxy(InetSocketAddress address, int zone) {
        addresses.add(address);
        zones.add(zone);
        inUse.add(false);
        return addresses.size() - 1;
    }

    /** The address at which clients reach this proxy. */
    public InetSocketAddress address(int proxy) {
        return addresses.get(proxy);
    }

    /** Sets whether new connections go to this proxy. */
    public void setInUse(int proxy, boolean setInUse) {
        inUse.set(proxy, setInUse);
    }

    /** A random proxy in use in this zone; if there is none, one in use in any zone; else any proxy. */
    public int pick(SplittableRandom random, int zone) {
        int inZone = count(i -> inUse.get(i) && zones.get(i) == zone);
        int inAnyZone = count(inUse::get);
        if (inAnyZone == 0) {
            return random.nextInt(addresses.size());
        }
        int remaining = random.nextInt(inZone > 0 ? inZone : inAnyZone);
        for (int i = 0; ; i++) {
            if (inUse.get(i) && (inZone == 0 || zones.get(i) == zone) && remaining-- == 0) {
                return i;
            }
        }
    }

    private int count(IntPredicate condition) {
        return (int) IntStream.range(0, addresses.size()).filter(condition).count();
    }
}
