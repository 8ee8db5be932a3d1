package holdproxy.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The link from one process to another: a TCP relay that the caller uses instead of the target's own address.
 * It forwards bytes both ways and applies the {@link LinkState} of each direction. Runs on one event loop.
 *
 * <p>Memory is bounded: each direction of a connection is read only while less than {@link #MOST_HELD} bytes
 * of it are queued. A cut direction is always read, as its bytes are dropped.
 */
public final class Relay implements AutoCloseable {
    /** Limit of the bytes queued in one direction of one connection. */
    private static final int MOST_HELD = 1 << 20;

    /** Interval at which a throttled direction gets its next allowance of bytes. */
    private static final int STEP_MS = 20;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final InetSocketAddress address;
    private final SplittableRandom random;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private LinkState there = LinkState.SOUND;
    private LinkState back = LinkState.SOUND;
    private long stateSinceNs = System.nanoTime();
    private Channel listener;
    private final AtomicLong dropped = new AtomicLong();
    private volatile int mostHeld;
    private boolean refusing;
    private volatile ChannelFuture changing;
    private boolean closed;

    private Relay(EventLoop loop, InetSocketAddress address, InetSocketAddress target, long seed) {
        this.loop = loop;
        this.address = address;
        this.target = target;
        random = new SplittableRandom(seed);
    }

    /** Opens a relay from {@code address} to {@code target}; {@code seed} is that of its jitter. */
    public static Relay open(
            EventLoop loop, InetSocketAddress address, InetSocketAddress target, long seed) {
        Relay relay = new Relay(loop, address, target, seed);
        ChannelFuture bound = relay.bind();
        if (!loop.inEventLoop()) {
            bound.syncUninterruptibly(); // on the loop, the bind completes later and waiting would deadlock
        }
        return relay;
    }

    /** The address at which the relay listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Bytes that cut directions have dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    /** The highest number of bytes ever queued in one direction of one connection. */
    int mostHeld() {
        return mostHeld;
    }

    /** Sets the states of the direction from the caller to the target, and of the opposite direction. */
    public void state(LinkState thereNow, LinkState backNow) {
        run(
                () -> {
                    there = thereNow;
                    back = backNow;
                    stateSinceNs = System.nanoTime();
                    List.copyOf(pairs).forEach(Pair::stateChanged);
                });
    }

    /**
     * Refuses new connections, or accepts them again; open connections stay. Off the event loop, the call
     * returns once the change has taken effect.
     */
    public void refuse(boolean now) {
        run(
                () -> {
                    if (now != refusing && !closed) {
                        refusing = now;
                        changing = now ? listener.close() : bind();
                    }
                });
        if (!loop.inEventLoop() && changing != null) {
            changing.syncUninterruptibly();
            run(() -> {}); // a closed port is released only at the loop's next select
        }
    }

    /** Resets all open connections. */
    public void reset() {
        run(() -> List.copyOf(pairs).forEach(Pair::reset));
    }

    @Override
    public void close() {
        run(
                () -> {
                    closed = true;
                    listener.close();
                    List.copyOf(pairs).forEach(Pair::reset);
                });
    }

    private void run(Runnable change) {
        if (loop.inEventLoop()) {
            change.run();
        } else {
            loop.submit(change).syncUninterruptibly();
        }
    }

    private ChannelFuture bind() {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel caller) {
                                        new Pair(caller).connect();
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        bound.addListener(
                f -> {
                    if (!f.isSuccess() && !closed) {
                        System.err.println(
                                "holdproxy: a relay cannot listen on "
                                        + address
                                        + ": "
                                        + f.cause());
                    }
                });
        return bound;
    }

    /** A connection from the caller and the matching one to the target. */
    private final class Pair {
        private final SocketChannel caller;
        private SocketChannel callee;
        private final Way thereWay = new Way(true);
        private final Way backWay = new Way(false);
        private boolean over;

        Pair(SocketChannel caller) {
            this.caller = caller;
            pairs.add(this);
            caller.pipeline().addLast(thereWay);
            caller.closeFuture().addListener(f -> reset());
        }

        void connect() {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .handler(
                            new ChannelInitializer<SocketChannel>() {
                                @Override
                                protected void initChannel(SocketChannel ch) {
                                    callee = ch;
                                    ch.pipeline().addLast(backWay);
                                }
                            })
                    .connect(target)
                    .addListener(
                            f -> {
                                if (!f.isSuccess()) {
                                    reset();
                                    return;
                                }
                                callee.closeFuture().addListener(c -> reset());
                                thereWay.start(caller, callee);
                                backWay.start(callee, caller);
                            });
        }

        void stateChanged() {
            if (thereWay.holed && !there.cut() || backWay.holed && !back.cut()) {
                reset();
            } else if (thereWay.to != null) {
                thereWay.go();
                backWay.go();
            }
        }

        /** Closes both connections after each side has ended its output and that was passed on. */
        private void end() {
            over = true;
            pairs.remove(this);
            caller.close();
            callee.close();
        }

        /** Closes both sides with a TCP reset, as a killed process would, unless they are closed already. */
        void reset() {
            if (!over) {
                over = true;
                pairs.remove(this);
                for (SocketChannel side : new SocketChannel[] {caller, callee}) {
                    if (side != null && side.isOpen()) {
                        side.config().setSoLinger(0);
                        side.close();
                    }
                }
                thereWay.drop();
                backWay.drop();
            }
        }

        /** One direction of a connection. */
        private final class Way extends ChannelInboundHandlerAdapter {
            private record Held(ByteBuf bytes, long dueNs) {}

            private final boolean forth;
            private final ArrayDeque<Held> held = new ArrayDeque<>();
            private SocketChannel from;
            private SocketChannel to;
            private long lastDueNs;
            private int heldBytes;
            private long passed;
            private int allowance;

            /** Bytes were dropped: no later byte may pass, and the connection is reset when the cut ends. */
            private boolean holed;

            /** The sender has ended its output. */
            private boolean ended;

            /** The end of the output has been passed on. */
            private boolean finished;

            private boolean waiting;

            Way(boolean forth) {
                this.forth = forth;
            }

            private LinkState state() {
                return forth ? there : back;
            }

            void start(SocketChannel reads, SocketChannel writes) {
                from = reads;
                to = writes;
                go();
            }

            /** Forwards the bytes that are due, then starts or stops reading, by the current state. */
            void go() {
                if (!over) {
                    pass();
                    if (!over) {
                        from.config()
                                .setAutoRead(
                                        !ended
                                                && !state().unread()
                                                && heldBytes < MOST_HELD
                                                && to.isWritable());
                    }
                }
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                LinkState now = state();
                if (now.cut() || holed || over) {
                    holed = true;
                    dropped.addAndGet(bytes.readableBytes());
                    bytes.release();
                    return;
                }
                long delayNs =
                        TimeUnit.MILLISECONDS.toNanos(
                                now.delayMs()
                                        + (now.jitterMs() > 0
                                                ? random.nextInt(now.jitterMs() + 1)
                                                : 0));
                long sinceS = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - stateSinceNs);
                delayNs += TimeUnit.MILLISECONDS.toNanos(now.growthMs() * sinceS);
                lastDueNs = Math.max(lastDueNs, System.nanoTime() + delayNs); // keeps the order
                held.add(new Held(bytes, lastDueNs));
                heldBytes += bytes.readableBytes();
                mostHeld = Math.max(mostHeld, heldBytes);
                go();
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                reset();
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                if (event == ChannelInputShutdownEvent.INSTANCE) {
                    ended = true;
                    go();
                }
            }

            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                // this channel is the output of the opposite direction
                (forth ? backWay : thereWay).go();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                reset();
            }

            private void pass() {
                boolean any = false;
                while (!held.isEmpty() && !state().cut() && to.isWritable()) {
                    Held next = held.peek();
                    long waitNs = next.dueNs - System.nanoTime();
                    if (waitNs > 0) {
                        later(TimeUnit.NANOSECONDS.toMillis(waitNs) + 1);
                        break;
                    }
                    int may = may(next.bytes.readableBytes());
                    if (may == 0) {
                        later(STEP_MS);
                        break;
                    }
                    any = true;
                    heldBytes -= may;
                    allowance -= state().bytesPerS() > 0 ? may : 0;
                    passed += may;
                    to.write(next.bytes.readRetainedSlice(may));
                    if (!next.bytes.isReadable()) {
                        held.poll().bytes.release();
                    }
                    if (state().tearAfter() > 0 && passed >= state().tearAfter()) {
                        to.flush();
                        reset();
                        return;
                    }
                }
                if (any) {
                    to.flush();
                }
                if (ended && held.isEmpty() && !finished && !state().cut() && !holed) {
                    finished = true;
                    to.shutdownOutput();
                    if (thereWay.finished && backWay.finished) {
                        end();
                    }
                }
            }

            /** How many of {@code bytes} may be forwarded now. */
            private int may(int bytes) {
                LinkState now = state();
                int may = bytes;
                if (now.tearAfter() > 0) {
                    may = (int) Math.max(1, Math.min(may, now.tearAfter() - passed));
                }
                return now.bytesPerS() > 0 ? Math.min(may, allowance) : may;
            }

            private void later(long ms) {
                if (!waiting) {
                    waiting = true;
                    loop.schedule(
                            () -> {
                                waiting = false;
                                allowance = Math.max(1, state().bytesPerS() * STEP_MS / 1000);
                                go();
                            },
                            ms,
                            TimeUnit.MILLISECONDS);
                }
            }

            void drop() {
                held.forEach(h -> ReferenceCountUtil.release(h.bytes));
                held.clear();
                heldBytes = 0;
            }
        }
    }
}
