package holdproxy.town;

import holdproxy.net.Transport;
import io.netty.channel.Channel;

/** Connections of a town's part, in memory or on sockets. */
public interface TownNetwork extends Transport {
    /** The name of the process that opened a connection which was accepted here. */
    String peer(Channel accepted);
}
