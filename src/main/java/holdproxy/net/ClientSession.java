package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** One client connection: its requests in order, each with one answer, written in that order. */
final class ClientSession extends SimpleChannelInboundHandler<Object> {
    /** So many may wait for their answers; those that come on top are refused, each in its turn. */
    private static final int MOST_WAITING = 128;

    private static final String BUSY = "SERVER_ERROR busy";
    private static final String FAILED = "SERVER_ERROR failed";

    /** One that takes nothing of its answers for so long has gone, though its end may never come. */
    private static final int UNTAKEN_MS = 10_000;

    private static final int LINGER_MS = 500;
    private static final int LINGER_MOST_MS = 10_000;

    /** One that has sent no whole command is owed an error or its end within 3 s; it holds a place. */
    static final int UNHEARD_MS = 2500;

    /** Within 6 s where much is sent: for as long as more of it has come within this time. */
    private static final int UNHEARD_LARGE_MS = 5_500;

    private static final int AT_WORK_MS = 400;

    /** A request's place in the order of answers. */
    static final class Slot {
        private ByteBuf answer;
        private Exchange exchange;

        /** Gives the answer as it comes; null where it is given whole. */
        private Relay relay;

        /** Not one request but so many running that were refused for want of room: counted and not held. */
        private int refused;

        private boolean due() {
            return answer != null || refused > 0;
        }
    }

    private final Proxy proxy;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private Channel channel;
    private Future<?> unheard;
    private Future<?> stuck;

    /** When more of a large value came last. */
    private long moreUs = Long.MIN_VALUE / 2;

    /** Bytes of whole answers that the client has not taken. */
    private int untaken;

    private boolean unread;
    private boolean closing;
    private boolean refusing;
    private boolean ending;
    private boolean advancing;

    ClientSession(Proxy proxy) {
        this.proxy = proxy;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        unheard =
                ctx.executor()
                        .schedule(
                                () -> unheard(ctx, UNHEARD_MS), UNHEARD_MS, TimeUnit.MILLISECONDS);
        proxy.reception.opened(this);
    }

    /** A client that is at work on a large value has longer. */
    private void unheard(ChannelHandlerContext ctx, int afterMs) {
        if (proxy.now() - moreUs <= AT_WORK_MS * 1000L && afterMs < UNHEARD_LARGE_MS) {
            unheard =
                    ctx.executor()
                            .schedule(
                                    () -> unheard(ctx, afterMs + AT_WORK_MS),
                                    AT_WORK_MS,
                                    TimeUnit.MILLISECONDS);
        } else {
            // the answer to a command that crosses it too: such a one is not sent on
            channel.write(line("CLIENT_ERROR no command"));
            end();
        }
    }

    boolean idle() {
        return slots.isEmpty();
    }

    /** No place is left for this connection: its requests are refused, and it ends after the first. */
    void refuse() {
        refusing = true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (message == Command.MORE) {
            moreUs = proxy.now();
            return;
        }
        unheard.cancel(false);
        if (unread) {
            return; // behind a lost framing, or after the end of our sending: the client asks again
            // elsewhere
        }
        if (closing || slots.size() >= MOST_WAITING) {
            turnAway(message);
            return;
        }
        Slot slot = new Slot();
        slots.add(slot);
        proxy.reception.busy(this);
        if (message instanceof Command.TooMuch t) {
            answer(slot, proxy.shed(t.command()));
        } else if (refusing && message instanceof Command c) {
            closing = true;
            answer(slot, proxy.shed(c));
        } else if (message instanceof Command c) {
            slot.exchange = proxy.request(this, slot, c);
        } else if (message instanceof Command.Greeting) {
            answer(slot, "MN");
        } else if (message instanceof Command.Fault f) {
            unread |= f.close();
            closing |= f.close();
            answer(slot, f.line());
        }
    }

    /**
     * No room, or no time before its end. The connection is read on in any case: else it would not be seen
     * that the client has left, and what it waits for would still be sent on. So whatever comes on top is
     * refused in its turn, and bounded memory is a matter of counting.
     */
    private void turnAway(Object message) {
        if (message instanceof Command.Fault f && f.close()) {
            unread = true;
            closing = true;
        } else if (message instanceof Command c) {
            proxy.shed(c);
        } else if (message instanceof Command.TooMuch t) {
            proxy.shed(t.command());
        }
        Slot last = slots.peekLast();
        if (last == null || last.refused == 0) {
            last = new Slot();
            slots.add(last);
        }
        last.refused++;
        if (slots.peek() == last) {
            advance();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        watchTaking(ctx);
        if (!slots.isEmpty() && slots.peek().relay != null) {
            slots.peek().relay.pump();
        } else if (!slots.isEmpty() && channel.isWritable()) {
            advance();
        }
    }

    private void watchTaking(ChannelHandlerContext ctx) {
        if (stuck != null && channel.isWritable()) {
            stuck.cancel(false);
            stuck = null;
        } else if (stuck == null && !channel.isWritable()) {
            stuck =
                    ctx.executor()
                            .schedule(
                                    () -> {
                                        if (slots.isEmpty()
                                                || slots.peek().relay
                                                        == null) { // a relay looks after its own
                                            // client
                                            channel.close();
                                        }
                                    },
                                    UNTAKEN_MS,
                                    TimeUnit.MILLISECONDS);
        }
    }

    void answer(Slot slot, String line) {
        answer(slot, line(line));
    }

    private static ByteBuf line(String text) {
        return Unpooled.copiedBuffer(text + "\r\n", StandardCharsets.ISO_8859_1);
    }

    /**
     * The one answer of this place; it goes out once those before it have. False: an error stands in its
     * place, since clients that do not take their answers must not fill our memory with them, nor cost
     * those that do theirs.
     */
    boolean answer(Slot slot, ByteBuf answer) {
        if (slot.answer != null || !channel.isActive()) {
            answer.release();
            return true;
        }
        int size = answer.readableBytes();
        boolean room = size <= FAILED.length() || proxy.untakenRoom(size, untaken == 0);
        if (!room) {
            answer.release();
        }
        slot.answer = room ? answer : line(FAILED);
        slot.exchange = null;
        untaken(slot.answer.readableBytes());
        advance();
        return room;
    }

    private void untaken(int change) {
        untaken += change;
        proxy.untaken(change);
    }

    /** Writes what is answered and due while the client takes it, and lets a relay go on whose turn it is. */
    private void advance() {
        if (advancing) {
            return; // a flush made room: the loop below goes on
        }
        advancing = true;
        boolean any = false;
        while (!slots.isEmpty() && channel.isWritable() && writeFirst()) {
            any = true;
            if (slots.isEmpty() || !channel.isWritable() || !slots.peek().due()) {
                channel.flush();
            }
        }
        advancing = false;
        if (!slots.isEmpty()) {
            if (any && slots.peek().relay != null) {
                slots.peek().relay.pump();
            }
        } else if (closing) {
            end();
        } else {
            proxy.reception.idle(this);
        }
    }

    /** The answer of the first place, or one of its refusals; false where it has none yet. */
    private boolean writeFirst() {
        Slot first = slots.peek();
        if (first.answer != null) {
            slots.poll();
            int size = first.answer.readableBytes();
            channel.write(first.answer).addListener(f -> untaken(-size));
        } else if (first.refused > 0) {
            if (--first.refused == 0) {
                slots.poll();
            }
            channel.write(line(BUSY));
        } else {
            return false;
        }
        return true;
    }

    // ---- for relays ----

    void relay(Slot slot, Relay relay) {
        slot.relay = relay;
    }

    boolean turnOf(Slot slot) {
        return slots.peek() == slot;
    }

    boolean hasRoom() {
        return channel.isWritable();
    }

    ChannelFuture write(ByteBuf bytes) {
        return channel.write(bytes);
    }

    void flush() {
        channel.flush();
    }

    /** The relay whose turn it was has written all of its value. */
    void relayed(Slot slot) {
        slots.remove(slot);
        if (!slots.isEmpty() && slots.peek().relay != null) {
            slots.peek().relay.pump();
        } else {
            advance();
        }
    }

    void abort() {
        channel.close();
    }

    /** Ends the connection once what was read from it is answered; what still comes is refused. */
    void close() {
        closing = true;
        if (slots.isEmpty()) {
            end();
        }
    }

    /**
     * Closing with bytes unread would make the kernel send a reset, which can overtake the last answer: the
     * sending is ended first, and the connection closed when the client has ended its own or been given time.
     */
    private void end() {
        if (ending || !channel.isActive()) {
            return;
        }
        ending = true;
        unread = true;
        // a slow client still takes what was written before
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        f -> {
                            proxy.reception.endSending(channel);
                            channel.eventLoop()
                                    .schedule(
                                            () -> channel.close(),
                                            LINGER_MS,
                                            TimeUnit.MILLISECONDS);
                        });
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MOST_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        unheard.cancel(false);
        if (stuck != null) {
            stuck.cancel(false);
        }
        proxy.reception.closed(this);
        for (Slot s : slots) {
            if (s.answer != null) {
                untaken(-s.answer.readableBytes());
                s.answer.release();
            } else if (s.relay != null) {
                s.relay.clientGone();
            } else if (s.exchange != null) {
                proxy.clientGone(s.exchange);
            }
        }
        slots.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close(); // a broken client connection ends alone
    }
}
