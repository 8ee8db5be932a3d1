package holdproxy.lab;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The plain layer before the proxies: spreads connections over those it believes up, and learns late. */
final class Front {
    private final List<InetSocketAddress> doors = new ArrayList<>();
    private final List<Boolean> used = new ArrayList<>();

    /** One more proxy, not used yet; returns its number. */
    int door(InetSocketAddress address) {
        doors.add(address);
        used.add(false);
        return doors.size() - 1;
    }

    InetSocketAddress address(int proxy) {
        return doors.get(proxy);
    }

    void use(int proxy, boolean use) {
        used.set(proxy, use);
    }

    /** A proxy by chance among those in use; among all where none is. */
    int pick(SplittableRandom random) {
        long up = used.stream().filter(u -> u).count();
        if (up == 0) {
            return random.nextInt(doors.size());
        }
        int left = random.nextInt((int) up);
        for (int i = 0; ; i++) {
            if (used.get(i) && left-- == 0) {
                return i;
            }
        }
    }
}
