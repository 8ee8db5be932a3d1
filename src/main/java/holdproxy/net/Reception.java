package holdproxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Where clients come in: their connections within one bound, from listening to the end of the last one. */
final class Reception {
    /** After SIGTERM new connections still come for 0.4 s; what comes after 0.7 s may be cut off. */
    private static final long DRAIN_OPEN_MS = 500;

    /** So often it is looked, a millisecond apart, whether the kernel has more connections for us. */
    private static final int LAST_LOOKS = 100;

    private final Proxy proxy;
    private final InetSocketAddress place;
    private final EventLoop loop;
    private final Transport transport;
    private final Log log;
    private final int most;

    /** In the order of their coming, so that a run in virtual time can be played again. */
    private final Set<ClientSession> sessions = new LinkedHashSet<>();

    /** Idle connections, longest first. */
    private final Set<ClientSession> idle = new LinkedHashSet<>();

    private final Promise<Void> drained;

    /** Connections that ever came. */
    private long opened;

    private Channel listener;
    private boolean handingOver;
    private volatile boolean listening;
    private volatile boolean draining;

    /** {@code most}: connections that it keeps. */
    Reception(
            Proxy proxy,
            InetSocketAddress place,
            EventLoop loop,
            Transport transport,
            Log log,
            int most) {
        this.proxy = proxy;
        this.place = place;
        this.loop = loop;
        this.transport = transport;
        this.log = log;
        this.most = most;
        drained = loop.newPromise();
    }

    /** On the loop: no client is accepted before it is known where. Null: it was told to end. */
    ChannelFuture listen() {
        if (draining) {
            return null;
        }
        ChannelFuture bound = transport.listen(place, proxy::handlers);
        listener = bound.channel();
        bound.addListener(f -> listening = f.isSuccess());
        return bound;
    }

    /** Whether it still takes connections, also while it ends. */
    boolean listens() {
        return listener != null;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** From when it listens until it is told to end. On any thread. */
    boolean takesClients() {
        return listening && !draining;
    }

    // ---- connections ----

    void opened(ClientSession s) {
        opened++;
        sessions.add(s);
        if (sessions.size() > most) {
            // between requests a connection may be closed: the one that has been idle longest makes
            // room
            if (!idle.isEmpty()) {
                ClientSession oldest = idle.iterator().next();
                idle.remove(oldest);
                oldest.close();
            } else {
                s.refuse();
            }
            if (sessions.size() > most + Descriptors.REFUSING) {
                s.abort(); // descriptors: past the bound nothing could be opened, not even
                // to a node
            }
        }
        idle.add(s);
    }

    void busy(ClientSession s) {
        idle.remove(s);
    }

    void idle(ClientSession s) {
        idle.add(s);
        if (draining && (listener == null || handingOver)) {
            idle.remove(s);
            s.close();
        }
    }

    void endSending(Channel channel) {
        transport.endSending(channel);
    }

    void closed(ClientSession s) {
        sessions.remove(s);
        idle.remove(s);
        finishDrain();
    }

    // ---- the end ----

    /** As at SIGTERM; done once every connection has ended. */
    Future<Void> end() {
        return end(DRAIN_OPEN_MS);
    }

    /**
     * Serves on while new connections still come, then ends each connection after its answers. Where another
     * process takes what comes, nothing more is accepted, and a connection ends right behind an answer: its
     * client is then least likely to be sending. What idles until the time is over ends then.
     */
    Future<Void> end(long openMs) {
        loop.execute(
                () -> {
                    if (draining) {
                        return;
                    }
                    draining = true;
                    log.line(
                            "ending: "
                                    + proxy.open()
                                    + " requests open, "
                                    + sessions.size()
                                    + " connections");
                    if (listener == null) {
                        finishDrain(); // it has not listened yet: nobody was taken
                        return;
                    }
                    handingOver = transport.shared();
                    if (handingOver) {
                        listener.config().setAutoRead(false);
                    }
                    loop.schedule(
                            () -> stopListening(-1, LAST_LOOKS), openMs, TimeUnit.MILLISECONDS);
                    loop.schedule(proxy::lastWord, proxy.lastWordMs(), TimeUnit.MILLISECONDS);
                });
        return drained;
    }

    /**
     * Not before a turn that brought no connection: after a standstill of the loop many may lie in the
     * kernel, and closed with the listener, or accepted and not read yet, they would have no answer.
     */
    private void stopListening(long openedBefore, int looks) {
        if (looks > 0 && opened != openedBefore) {
            long now = opened;
            loop.schedule(() -> stopListening(now, looks - 1), 1, TimeUnit.MILLISECONDS);
            return;
        }
        if (!handingOver) {
            listener.close();
        }
        listener = null;
        log.line("ending: " + idle.size() + " idle connections of " + sessions.size());
        for (ClientSession s : List.copyOf(sessions)) {
            s.close();
        }
        finishDrain();
    }

    private void finishDrain() {
        if (draining && listener == null && sessions.isEmpty()) {
            drained.trySuccess(null);
        }
    }
}
