package holdproxy.harness;

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
 * <p>Memory is bounded: each direction of a connection is read only while less than {@link
 * #MAX_QUEUED_BYTES} bytes of it are queued. In a cut direction bytes are dropped, not queued.
 */
public final class Link implements AutoCloseable {
    /** Limit of the bytes queued in one direction of one connection. */
    private static final int MAX_QUEUED_BYTES = 1 << 20;

    /** Interval at which a throttled direction gets its next allowance of bytes. */
    private static final int THROTTLE_STEP_MS = 20;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final InetSocketAddress address;
    private final SplittableRandom random;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private LinkState forwardState = LinkState.HEALTHY;
    private LinkState backwardState = LinkState.HEALTHY;
    private long stateSinceNs = System.nanoTime();
    private Channel listener;
    private final AtomicLong dropped = new AtomicLong();
    private volatile int maxQueuedBytes;
    private boolean refusing;
    private volatile ChannelFuture pendingChange;
    private boolean closed;

    private Link(EventLoop loop, InetSocketAddress address, InetSocketAddress target, long seed) {
        this.loop = loop;
        this.address = address;
        this.target = target;
        random = new SplittableRandom(seed);
    }

    /** Opens a link from {@code address} to {@code target}; {@code seed} is that of its jitter. */
    public static Link open(
            EventLoop loop, InetSocketAddress address, InetSocketAddress target, long seed) {
        Link link = new Link(loop, address, target, seed);
        ChannelFuture bound = link.bind();
        if (!loop.inEventLoop()) {
            // on the loop, the bind completes later and waiting would deadlock
            bound.syncUninterruptibly();
        }
        return link;
    }

    /** The address at which the link listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Bytes that cut directions have dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    /** The highest number of bytes ever queued in one direction of one connection. */
    int maxQueuedBytes() {
        return maxQueuedBytes;
    }

    /** Sets the states of the direction from the caller to the target, and of the opposite direction. */
    public void state(LinkState newForward, LinkState newBackward) {
        runOnLoop(
                () -> {
                    forwardState = newForward;
                    backwardState = newBackward;
                    stateSinceNs = System.nanoTime();
                    List.copyOf(connections).forEach(Connection::onStateChanged);
                });
    }

    /**
     * Refuses new connections, or accepts them again; open connections stay. Off the event loop, the call
     * returns once the change has taken effect.
     */
    public void refuse(boolean refuseNew) {
        runOnLoop(
                () -> {
                    if (refuseNew != refusing && !closed) {
                        refusing = refuseNew;
                        pendingChange = refuseNew ? listener.close() : bind();
                    }
                });
        if (!loop.inEventLoop() && pendingChange != null) {
            pendingChange.syncUninterruptibly();
            awaitNextSelect();
        }
    }

    /**
     * A closed port is released only by the loop's next select. A task may run before that, in the same
     * iteration as the close; a timer that is set now runs after it.
     */
    private void awaitNextSelect() {
        loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Resets all open connections. */
    public void reset() {
        runOnLoop(() -> List.copyOf(connections).forEach(Connection::reset));
    }

    @Override
    public void close() {
        runOnLoop(
                () -> {
                    closed = true;
                    listener.close();
                    List.copyOf(connections).forEach(Connection::reset);
                });
    }

    private void runOnLoop(Runnable change) {
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
                                        new Connection(caller).connect();
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
    private final class Connection {
        private final SocketChannel caller;
        private SocketChannel callee;
        private final Direction forward = new Direction(true);
        private final Direction backward = new Direction(false);
        private boolean done;

        Connection(SocketChannel caller) {
            this.caller = caller;
            connections.add(this);
            caller.pipeline().addLast(forward);
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
                                    ch.pipeline().addLast(backward);
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
                                forward.start(caller, callee);
                                backward.start(callee, caller);
                            });
        }

        void onStateChanged() {
            if (forward.lostBytes && !forwardState.cut()
                    || backward.lostBytes && !backwardState.cut()) {
                reset();
            } else if (forward.to != null) {
                forward.update();
                backward.update();
            }
        }

        /** Closes both connections after each side has ended its output and that was passed on. */
        private void end() {
            done = true;
            connections.remove(this);
            caller.close();
            callee.close();
        }

        /** Closes both sides with a TCP reset, as a killed process would, unless they are closed already. */
        void reset() {
            if (!done) {
                done = true;
                connections.remove(this);
                for (SocketChannel side : new SocketChannel[] {caller, callee}) {
                    if (side != null && side.isOpen()) {
                        side.config().setSoLinger(0);
                        side.close();
                    }
                }
                forward.discardQueue();
                backward.discardQueue();
            }
        }

        /** One direction of a connection. */
        private final class Direction extends ChannelInboundHandlerAdapter {
            private record QueuedBytes(ByteBuf bytes, long dueNs) {}

            private final boolean isForward;
            private final ArrayDeque<QueuedBytes> queue = new ArrayDeque<>();
            private SocketChannel from;
            private SocketChannel to;
            private long lastDueNs;
            private int queuedBytes;
            private long forwardedBytes;
            private int allowance;

            /** Bytes were dropped: no later byte may pass, and the connection is reset when the cut ends. */
            private boolean lostBytes;

            /** The sender has ended its output. */
            private boolean inputEnded;

            /** The end of the output has been passed on. */
            private boolean endForwarded;

            private boolean updateScheduled;

            Direction(boolean isForward) {
                this.isForward = isForward;
            }

            private LinkState state() {
                return isForward ? forwardState : backwardState;
            }

            void start(SocketChannel reads, SocketChannel writes) {
                from = reads;
                to = writes;
                update();
            }

            /** Forwards the bytes that are due, then starts or stops reading, by the current state. */
            void update() {
                if (!done) {
                    forwardDueBytes();
                    if (!done) {
                        from.config()
                                .setAutoRead(
                                        !inputEnded
                                                && !state().unread()
                                                && queuedBytes < MAX_QUEUED_BYTES
                                                && to.isWritable());
                    }
                }
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                LinkState now = state();
                if (now.cut() || lostBytes || done) {
                    lostBytes = true;
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
                queue.add(new QueuedBytes(bytes, lastDueNs));
                queuedBytes += bytes.readableBytes();
                maxQueuedBytes = Math.max(maxQueuedBytes, queuedBytes);
                update();
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                reset();
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                if (event == ChannelInputShutdownEvent.INSTANCE) {
                    inputEnded = true;
                    update();
                }
            }

            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                // this channel is the output of the opposite direction
                (isForward ? backward : forward).update();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                reset();
            }

            private void forwardDueBytes() {
                boolean wrote = false;
                while (!queue.isEmpty() && !state().cut() && to.isWritable()) {
                    QueuedBytes next = queue.peek();
                    long waitNs = next.dueNs - System.nanoTime();
                    if (waitNs > 0) {
                        scheduleUpdate(TimeUnit.NANOSECONDS.toMillis(waitNs) + 1);
                        break;
                    }
                    int count = allowedBytes(next.bytes.readableBytes());
                    if (count == 0) {
                        scheduleUpdate(THROTTLE_STEP_MS);
                        break;
                    }
                    wrote = true;
                    queuedBytes -= count;
                    allowance -= state().bytesPerS() > 0 ? count : 0;
                    forwardedBytes += count;
                    to.write(next.bytes.readRetainedSlice(count));
                    if (!next.bytes.isReadable()) {
                        queue.poll().bytes.release();
                    }
                    if (state().tearAfter() > 0 && forwardedBytes >= state().tearAfter()) {
                        to.flush();
                        reset();
                        return;
                    }
                }
                if (wrote) {
                    to.flush();
                }
                if (inputEnded
                        && queue.isEmpty()
                        && !endForwarded
                        && !state().cut()
                        && !lostBytes) {
                    endForwarded = true;
                    to.shutdownOutput();
                    if (forward.endForwarded && backward.endForwarded) {
                        end();
                    }
                }
            }

            /** How many of {@code bytes} may be forwarded now. */
            private int allowedBytes(int bytes) {
                LinkState now = state();
                int allowed = bytes;
                if (now.tearAfter() > 0) {
                    allowed =
                            (int) Math.max(1, Math.min(allowed, now.tearAfter() - forwardedBytes));
                }
                return now.bytesPerS() > 0 ? Math.min(allowed, allowance) : allowed;
            }

            private void scheduleUpdate(long ms) {
                if (!updateScheduled) {
                    updateScheduled = true;
                    loop.schedule(
                            () -> {
                                updateScheduled = false;
                                allowance =
                                        Math.max(1, state().bytesPerS() * THROTTLE_STEP_MS / 1000);
                                update();
                            },
                            ms,
                            TimeUnit.MILLISECONDS);
                }
            }

            void discardQueue() {
                queue.forEach(h -> ReferenceCountUtil.release(h.bytes));
                queue.clear();
                queuedBytes = 0;
            }
        }
    }
}
