package holdproxy.emulator;

import holdproxy.net.Transport;
import io.netty.channel.Channel;

/** The network of a part of the emulated site, in memory or on sockets. */
public interface SiteNetwork extends Transport {
    /** The name of the process that opened an accepted connection. */
    String peerName(Channel accepted);
}
