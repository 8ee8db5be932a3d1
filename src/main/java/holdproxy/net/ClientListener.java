package holdproxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Accepts client connections up to a limit, from listening until the last connection has closed. */
final class ClientListener {
    /** After SIGTERM new connections still arrive for 0.4 s; those that arrive after 0.7 s may be cut off. */
    private static final long ACCEPT_WHILE_DRAINING_MS = 500;

    /** Maximum number of checks, 1 ms apart, for connections still waiting in the kernel's accept queue. */
    private static final int MAX_ACCEPT_CHECKS = 100;

    /** A client that takes longer for one command may have to make room for another; 60 MB may take 6 s. */
    private static final long MAX_RECEIVING_US = 6_000_000;

    private final Proxy proxy;
    private final InetSocketAddress listenAddress;
    private final EventLoop loop;
    private final Transport transport;
    private final Log log;

    /** Maximum number of open connections. */
    private final int maxConnections;

    /** In order of arrival, so that runs in virtual time are reproducible. */
    private final Set<ClientSession> sessions = new LinkedHashSet<>();

    /** Connections on which no command has been begun, longest idle first. */
    private final Set<ClientSession> idle = new LinkedHashSet<>();

    /** Connections on which only a part of a command has been received, and since when, in that order. */
    private final Map<ClientSession, Long> receiving = new LinkedHashMap<>();

    private final Promise<Void> drained;

    /** Number of connections accepted so far. */
    private long accepted;

    private Channel listener;
    private boolean sharedListener;
    private volatile boolean listening;
    private volatile boolean draining;

    ClientListener(
            Proxy proxy,
            InetSocketAddress listenAddress,
            EventLoop loop,
            Transport transport,
            Log log,
            int maxConnections) {
        this.proxy = proxy;
        this.listenAddress = listenAddress;
        this.loop = loop;
        this.transport = transport;
        this.log = log;
        this.maxConnections = maxConnections;
        drained = loop.newPromise();
    }

    /**
     * Must run on the event loop, so that no client is accepted before the listener is set. Returns null if
     * shutdown has already begun.
     */
    ChannelFuture listen() {
        if (draining) {
            return null;
        }
        ChannelFuture bound = transport.listen(listenAddress, proxy::handlers);
        listener = bound.channel();
        bound.addListener(f -> listening = f.isSuccess());
        return bound;
    }

    /** Whether it accepts connections, which may still be so during shutdown. */
    boolean acceptsConnections() {
        return listener != null;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Whether it listens and shutdown has not begun. May be called on any thread. */
    boolean takesClients() {
        return listening && !draining;
    }

    // ---- connections ----

    void opened(ClientSession s) {
        accepted++;
        sessions.add(s);
        if (sessions.size() > maxConnections) {
            if (!makeRoom()) {
                s.refuseRequests();
            }
            if (sessions.size() > maxConnections + ConnectionLimits.REFUSAL_RESERVE) {
                // out of descriptors, not even a connection to a node could be opened
                s.abort();
            }
        }
        idle.add(s);
    }

    /**
     * Ends the longest idle connection, as one may be closed between requests; otherwise the one whose
     * client has taken longest for a command, and too long. Returns false if there is none of these.
     */
    private boolean makeRoom() {
        if (!idle.isEmpty()) {
            ClientSession oldest = idle.iterator().next();
            idle.remove(oldest);
            oldest.close();
            return true;
        }
        if (!receiving.isEmpty()) {
            Map.Entry<ClientSession, Long> oldest = receiving.entrySet().iterator().next();
            if (proxy.now() - oldest.getValue() > MAX_RECEIVING_US) {
                oldest.getKey().refuseUnfinishedCommand();
                return true;
            }
        }
        return false;
    }

    /** A request has been received whole and has no answer yet. */
    void busy(ClientSession s) {
        idle.remove(s);
        receiving.remove(s);
    }

    /** Everything is answered, but a command has been received in part. */
    void receiving(ClientSession s) {
        idle.remove(s);
        receiving.putIfAbsent(s, proxy.now());
    }

    /** Everything is answered, and no command has been begun. */
    void idle(ClientSession s) {
        receiving.remove(s);
        idle.add(s);
        if (draining && (listener == null || sharedListener)) {
            idle.remove(s);
            s.close();
        }
    }

    /** The connection is being closed, and takes no more requests. */
    void ending(ClientSession s) {
        busy(s);
    }

    void closed(ClientSession s) {
        sessions.remove(s);
        busy(s);
        finishDrain();
    }

    // ---- shutdown ----

    /** Shuts down as on SIGTERM; the future completes once every connection has closed. */
    Future<Void> shutDown() {
        return shutDown(ACCEPT_WHILE_DRAINING_MS);
    }

    /**
     * Accepts new connections for {@code openMs}, then closes each connection once its requests are answered.
     * If the listening socket is shared, the other process accepts the new connections, and this one closes
     * each of its own right after a response, when the client is least likely to be sending. Connections that
     * stay idle are closed after {@code openMs}.
     */
    Future<Void> shutDown(long openMs) {
        loop.execute(
                () -> {
                    if (draining) {
                        return;
                    }
                    draining = true;
                    log.line(
                            "ending: "
                                    + proxy.openRequests()
                                    + " requests open, "
                                    + sessions.size()
                                    + " connections");
                    if (listener == null) {
                        finishDrain(); // it never listened, so there are no clients
                        return;
                    }
                    sharedListener = transport.sharesListener();
                    if (sharedListener) {
                        listener.config().setAutoRead(false);
                    }
                    loop.schedule(
                            () -> stopListening(-1, MAX_ACCEPT_CHECKS),
                            openMs,
                            TimeUnit.MILLISECONDS);
                    loop.schedule(
                            this::endOpenRequests,
                            proxy.failOpenRequestsAfterMs(),
                            TimeUnit.MILLISECONDS);
                });
        return drained;
    }

    /**
     * Stops listening, but not before a check that finds no new connection. After a stall of the event loop
     * many may wait in the kernel; closed with the listener, or accepted but not yet read, they would get no
     * response.
     */
    private void stopListening(long acceptedBefore, int checksLeft) {
        if (checksLeft > 0 && accepted != acceptedBefore) {
            long acceptedNow = accepted;
            loop.schedule(
                    () -> stopListening(acceptedNow, checksLeft - 1), 1, TimeUnit.MILLISECONDS);
            return;
        }
        if (!sharedListener) {
            listener.close();
        }
        listener = null;
        log.line("ending: " + idle.size() + " idle connections of " + sessions.size());
        for (ClientSession s : List.copyOf(sessions)) {
            s.close();
        }
        finishDrain();
    }

    /** Answers all that is open, also what is half received, as the process may be killed soon. */
    private void endOpenRequests() {
        proxy.failOpenRequests();
        for (ClientSession s : List.copyOf(sessions)) {
            s.refuseUnfinishedCommand();
        }
    }

    private void finishDrain() {
        if (draining && listener == null && sessions.isEmpty()) {
            drained.trySuccess(null);
        }
    }
}
