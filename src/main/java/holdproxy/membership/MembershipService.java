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

/** A process's place among the others: the rules of membership on links, with an event loop of their own. */
public final class MembershipService {
    /** The kind of frame that membership's messages are. */
    static final int MEMBERSHIP = 1;

    private static final long LEAVE_MS = 200;
    private static final int COUNT_S = 10;

    /**
     * Where a process is met and meets others.
     *
     * @param name its own
     * @param address by which others reach it
     * @param listen where it listens
     * @param seeds addresses at which others may be found
     * @param routes where others are reached whose own addresses do not serve from here, by name
     */
    public record Place(
            String name,
            String address,
            InetSocketAddress listen,
            List<String> seeds,
            Map<String, InetSocketAddress> routes) {
        public Place {
            seeds = List.copyOf(seeds);
            routes = Map.copyOf(routes);
        }
    }

    /** Hears what becomes known, on the event loop. */
    public interface Listener {
        /** What is held of a process has changed. */
        void changed(Change change);

        /** A later generation of this name runs elsewhere: this one is out of the fleet. */
        void superseded(Member by);

        /** What this process has sent to others since its start, and what it could not send. */
        void sent(long frames, long bytes, long dropped);

        /** A line for the log. */
        void line(String text);
    }

    /** The kind of frame that the consensus group's and the leases' are. */
    public static final int CONSENSUS = 2;

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Links links;
    private final Listener listener;
    private final long startNs = System.nanoTime();
    private Membership rules;
    private Future<?> timer;
    private long timerUs;

    private MembershipService(
            Place place, Function<String, InetSocketAddress> addresses, Listener listener) {
        this.listener = listener;
        links = new Links(loop, place.routes(), addresses, listener::line);
    }

    /**
     * Listens and begins to look for the others; {@code addresses} reads an address, with a {@link BadInput}
     * where it is none. A {@link BadInput} says why it cannot listen.
     */
    public static MembershipService start(
            Place place,
            long generation,
            Function<String, InetSocketAddress> addresses,
            Listener listener) {
        MembershipService service = new MembershipService(place, addresses, listener);
        try {
            service.loop.submit(() -> service.begin(place, generation)).get();
            service.loop.scheduleAtFixedRate(
                    () ->
                            listener.sent(
                                    service.links.sentFrames(),
                                    service.links.sentBytes(),
                                    service.links.dropped()),
                    COUNT_S,
                    COUNT_S,
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
            throw new IllegalStateException("membership cannot begin", e.getCause());
        }
        return service;
    }

    private void begin(Place place, long generation) {
        rules =
                new Membership(
                        Membership.Settings.USUAL,
                        place.name(),
                        place.address(),
                        generation,
                        place.seeds(),
                        new Random(),
                        nowUs(),
                        new Outward());
        links.receive(
                MEMBERSHIP,
                frame -> {
                    rules.received(nowUs(), MessageCodec.message(frame));
                    wake();
                });
        wake();
    }

    private long nowUs() {
        return (System.nanoTime() - startNs) / 1000;
    }

    private void wake() {
        long dueUs = rules.dueUs();
        if (dueUs == Long.MAX_VALUE || timer != null && !timer.isDone() && timerUs <= dueUs) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerUs = dueUs;
        timer =
                loop.schedule(
                        () -> {
                            timer = null;
                            rules.tick(nowUs());
                            wake();
                        },
                        Math.max(0, dueUs - nowUs()),
                        TimeUnit.MICROSECONDS);
    }

    /** Who takes frames of a kind, on the event loop; to be said at once after the start. */
    public void receive(int kind, Links.Receiver receiver) {
        loop.execute(() -> links.receive(kind, receiver));
    }

    /** Sends a frame to a process, where it is known how that is reached; on any thread. */
    public void send(String name, int kind, byte[] frame) {
        loop.execute(
                () -> {
                    Member to = rules.other(name);
                    links.send(name, to == null ? "" : to.address(), kind, frame);
                });
    }

    /** Tells others that this process ends, and waits a moment for that to go out. */
    public void leave() {
        try {
            loop.submit(() -> rules.leave()).get(LEAVE_MS, TimeUnit.MILLISECONDS);
            loop.schedule(links::close, LEAVE_MS / 4, TimeUnit.MILLISECONDS)
                    .get(LEAVE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            listener.line("the others are not told of the end: " + e);
        }
    }

    /** What the rules have the links do. */
    private final class Outward implements Membership.Output {
        @Override
        public void send(String name, String address, Message message) {
            links.send(name, address, MEMBERSHIP, MessageCodec.bytes(message));
        }

        @Override
        public void changed(Change change) {
            if (change.now().state() == Member.State.SUSPECT) {
                // its connection may be at fault, which a new one shows
                links.renew(change.now().name(), change.now().address());
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
