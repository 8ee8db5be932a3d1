package holdproxy.membership;

import holdproxy.input.BadInput;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/** Runs {@link Membership} over {@link Links} on an event loop of its own. */
public final class MembershipService {
    /** Frame kind of membership messages. */
    static final int MEMBERSHIP = 1;

    private static final long LEAVE_TIMEOUT_MS = 200;
    private static final int COUNTER_INTERVAL_S = 10;

    /**
     * Identity and addresses of a process.
     *
     * @param name name of the process
     * @param address advertised address, by which others reach it
     * @param listen address that it listens on
     * @param seeds addresses of processes to join through
     * @param routes addresses, by process name, that replace the advertised ones of processes that cannot be
     *     reached there from here
     */
    public record Endpoint(
            String name,
            String address,
            InetSocketAddress listen,
            List<String> seeds,
            Map<String, InetSocketAddress> routes) {
        public Endpoint {
            seeds = List.copyOf(seeds);
            routes = Map.copyOf(routes);
        }
    }

    /** Called on the event loop. */
    public interface Listener {
        /** What is known of a process has changed. */
        void changed(MemberChange change);

        /** A later generation of this name runs elsewhere; this process has stopped taking part. */
        void superseded(Member by);

        /** Counters since the start: frames and bytes sent, frames dropped. */
        void sent(long frames, long bytes, long dropped);

        /** A line for the log. */
        void logLine(String text);
    }

    /** Frame kind of the consensus group and the leases. */
    public static final int CONSENSUS_FRAME_KIND = 2;

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Links links;
    private final Listener listener;
    private final long startNs = System.nanoTime();
    private Membership membership;
    private Future<?> timer;
    private long timerDueUs;

    private MembershipService(
            Endpoint place, Function<String, InetSocketAddress> addresses, Listener listener) {
        this.listener = listener;
        links = new Links(loop, place.routes(), addresses, listener::logLine);
    }

    /**
     * Listens and starts to join. {@code addresses} parses an address and throws {@link BadInput} if it is
     * invalid. Throws {@link BadInput} if the process cannot listen.
     */
    public static MembershipService start(
            Endpoint place,
            long generation,
            Function<String, InetSocketAddress> addresses,
            Listener listener) {
        MembershipService service = new MembershipService(place, addresses, listener);
        try {
            service.loop.submit(() -> service.startMembership(place, generation)).get();
            service.loop.scheduleAtFixedRate(
                    () ->
                            listener.sent(
                                    service.links.sentFrames(),
                                    service.links.sentBytes(),
                                    service.links.dropped()),
                    COUNTER_INTERVAL_S,
                    COUNTER_INTERVAL_S,
                    TimeUnit.SECONDS);
            ChannelFuture bound = service.links.listen(place.listen()).await();
            if (!bound.isSuccess()) {
                throw new BadInput(
                        "cannot listen for peers on "
                                + place.listen()
                                + ": "
                                + bound.cause().getMessage());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new BadInput("interrupted");
        } catch (ExecutionException e) {
            throw new IllegalStateException("membership failed to start", e.getCause());
        }
        return service;
    }

    private void startMembership(Endpoint place, long generation) {
        membership =
                new Membership(
                        Membership.Settings.DEFAULT,
                        place.name(),
                        place.address(),
                        generation,
                        place.seeds(),
                        new Random(),
                        nowUs(),
                        new LinkOutput());
        links.receive(
                MEMBERSHIP,
                frame -> {
                    membership.received(nowUs(), MessageCodec.decode(frame));
                    scheduleTick();
                });
        scheduleTick();
    }

    private long nowUs() {
        return (System.nanoTime() - startNs) / 1000;
    }

    private void scheduleTick() {
        long dueUs = membership.dueUs();
        if (dueUs == Long.MAX_VALUE || timer != null && !timer.isDone() && timerDueUs <= dueUs) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerDueUs = dueUs;
        timer =
                loop.schedule(
                        () -> {
                            timer = null;
                            membership.tick(nowUs());
                            scheduleTick();
                        },
                        Math.max(0, dueUs - nowUs()),
                        TimeUnit.MICROSECONDS);
    }

    /** Sets the receiver for a kind of frame; to be called right after the start. */
    public void receive(int kind, Links.Receiver receiver) {
        loop.execute(() -> links.receive(kind, receiver));
    }

    /** Sends a frame to a process, or drops it if its address is unknown; may be called on any thread. */
    public void send(String name, int kind, byte[] frame) {
        loop.execute(
                () -> {
                    Member to = membership.other(name);
                    links.send(name, to == null ? "" : to.address(), kind, frame);
                });
    }

    /** Announces the shutdown to other members, waits briefly for that to be sent, and closes the links. */
    public void leave() {
        try {
            loop.submit(() -> membership.leave()).get(LEAVE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            loop.schedule(links::close, LEAVE_TIMEOUT_MS / 4, TimeUnit.MILLISECONDS)
                    .get(LEAVE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            listener.logLine("could not notify other members of the shutdown: " + e);
        }
    }

    /** Applies the effects of the protocol to the links. */
    private final class LinkOutput implements Membership.Output {
        @Override
        public void send(String name, String address, Message message) {
            links.send(name, address, MEMBERSHIP, MessageCodec.encode(message));
        }

        @Override
        public void changed(MemberChange change) {
            if (change.now().state() == Member.State.SUSPECT) {
                // the connection may be at fault: the next frame opens a new one
                links.closeConnection(change.now().name(), change.now().address());
            }
            listener.changed(change);
        }

        @Override
        public void superseded(Member by) {
            links.close();
            listener.superseded(by);
        }
    }
}
