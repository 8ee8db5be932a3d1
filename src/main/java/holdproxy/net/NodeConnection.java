package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** One connection to a cache node, with the attempts on it in the order of their answers. */
final class NodeConnection extends SimpleChannelInboundHandler<Object> {
    private static final int SLICE_BYTES = 32 * 1024;

    /** So long after an answer a second one to the same command may still come, which bears no id. */
    private static final long SECOND_ANSWER_US = 50_000;

    final NodePool pool;
    final InetSocketAddress address;

    /** How long what is put on it may wait for it to come up. */
    private final long dialUs;

    /** Those that are begun, in the order of their answers, and behind them those that are not yet. */
    private final ArrayDeque<Attempt> line = new ArrayDeque<>();

    private final ArrayDeque<Attempt> unsent = new ArrayDeque<>();

    /** Those whose values are on their way, and how much of the first one's has gone. */
    private final ArrayDeque<Attempt> sending = new ArrayDeque<>();

    private int sent;
    private Channel channel;
    private boolean up;
    private boolean wanted;
    private boolean closed;

    /** An attempt on it was given up: what went on it now would wait behind that one's answer. */
    private boolean retired;

    /** Where the value goes that comes in pieces now; null: nowhere, it is thrown away. */
    private Relay relay;

    /** A value comes in pieces now. */
    private boolean inPieces;

    private Answer relayed;

    /** When it came back from its last answer; before the first one it never idles. */
    long idleSinceUs;

    /** The last answer may have been another command's: failures and refusals bear no id. */
    private boolean doubtful;

    private boolean answered;

    NodeConnection(NodePool pool, InetSocketAddress address, long dialUs) {
        this.pool = pool;
        this.address = address;
        this.dialUs = dialUs;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    int load() {
        return line.size() + unsent.size();
    }

    /**
     * Whether the next line without an id that comes can be no other command's answer than the next one's.
     * On no such connection a refusal proves that a write did not run: it may be the second answer to what
     * was asked before, or the late one of what such a second answer was taken for.
     */
    boolean certain(long now) {
        long quietUs = now - pool.pools.proxy.justStoodStillUs(now) - idleSinceUs;
        return !answered || !doubtful && quietUs > SECOND_ANSWER_US;
    }

    boolean usable() {
        return !closed && !retired && sending.isEmpty() && (!up || channel.isActive());
    }

    void add(Attempt a) {
        a.connection = this;
        wanted = true;
        unsent.add(a);
        begin();
    }

    /** Begins what waits, each behind the whole of the one before it. */
    private void begin() {
        while (up && !unsent.isEmpty() && sending.isEmpty() && !closed) {
            Attempt a = unsent.poll();
            if (mayBegin(a)) {
                line.add(a);
                write(a);
            } else {
                end(a, Router.Outcome.NOT_SENT, null);
            }
        }
    }

    /**
     * Not where its client has left meanwhile or has its answer, where the node was told to drain or is left
     * out, or where it has waited longer than a dial may take, by which the module has reckoned.
     */
    private boolean mayBegin(Attempt a) {
        return !a.exchange.answered
                && pool.takes(this)
                && pool.pools.proxy.now() - a.sentUs <= dialUs;
    }

    private void write(Attempt a) {
        long waitUs = a.waitUs - (pool.pools.proxy.now() - a.sentUs);
        Command c = a.exchange.command;
        if (c.large()) {
            sending.add(a); // before its line, whose write may make room and come back here
        }
        ChannelFuture written = channel.writeAndFlush(c.encode(channel.alloc(), waitUs));
        if (c.large()) {
            send();
        } else {
            written.addListener(f -> written(a, f.isSuccess()));
        }
    }

    /** Large values go out in slices, so that no more of them waits for the socket than it takes. */
    private void send() {
        while (!sending.isEmpty() && channel.isWritable() && !closed) {
            Attempt a = sending.peek();
            if (pool.pools.proxy.now() >= a.lastByteByUs) {
                line.remove(a);
                end(a, Router.Outcome.NOT_SENT, null); // whole it might run a second time
                close();
                return;
            }
            Command c = a.exchange.command;
            int from = sent;
            sent += SLICE_BYTES;
            boolean last = sent >= c.valueBytes();
            if (last) {
                sent = 0;
                sending.poll();
            }
            // the write may make room, which comes back here: what this slice is has been put down
            // before
            ChannelFuture written = channel.writeAndFlush(c.slice(from, SLICE_BYTES));
            if (last) {
                written.addListener(f -> written(a, f.isSuccess()));
            }
        }
    }

    private void written(Attempt a, boolean whole) {
        if (whole) {
            a.written = true;
            pool.pools.proxy.figures().tries.add(1);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        send();
        if (!unsent.isEmpty() && sending.isEmpty()) {
            pool.pools.proxy.events.add(this::begin); // as where it comes up
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        up = true;
        // the end of the client that waits for it may lie behind this in the same turn
        pool.pools.proxy.events.add(this::beginFirst);
    }

    private void beginFirst() {
        begin();
        if (wanted && !answered && line.isEmpty() && unsent.isEmpty() && !closed) {
            pool.idle(this); // nobody wants any more what it was opened for
        }
    }

    void dialed(ChannelFuture f) {
        if (!f.isSuccess()) {
            pool.pools.dialFailed();
            gone();
        }
    }

    /**
     * The wait for an attempt is over. With no other live attempt in line the connection is closed, which
     * tells the node. Otherwise it takes nothing new, and the late answer is read and thrown away in its
     * turn: taken for the next attempt's it would serve a client another's value. Returns whether the attempt
     * may run or have run. If not it may be sent elsewhere, so its bytes must not go out from here later.
     */
    boolean giveUp(Attempt a) {
        a.over = true;
        if (unsent.remove(a)) {
            if (line.isEmpty() && unsent.isEmpty()) {
                close();
            }
            return false;
        }
        retired = true;
        handBack();
        if (anyWaiting()) {
            return true;
        }
        boolean written = a.written;
        close();
        return written;
    }

    /** What is not begun may be sent elsewhere. */
    void handBack() {
        boolean dialing = !up;
        for (Attempt a = unsent.poll(); a != null; a = unsent.poll()) {
            end(a, Router.Outcome.NOT_SENT, null);
        }
        if (dialing) {
            close(); // nobody waits for it any more
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (message instanceof Answer answer) {
            answered(answer);
        } else if (message instanceof ByteBuf bytes) {
            if (relay != null) {
                relay.more(bytes.retain());
            }
        } else {
            pieced();
        }
    }

    private void answered(Answer answer) {
        Attempt a = line.peek();
        if (a == null || closed) {
            close(); // an answer to nothing
            return;
        }
        boolean ours = answer.outcome != Router.Outcome.OK || fits(answer, a);
        if (answer.broken || inPieces || !a.written || !ours) {
            pool.pools.log.line(
                    "node "
                            + pool.name
                            + " broke the protocol"
                            + (answer.broken ? ": " + Config.shown(answer.receipt) : ""));
            // a broken connection, not a read error: it may have run, and it says nothing of
            // capacity
            if (!inPieces) {
                line.poll();
                end(a, Router.Outcome.RESET, null);
            }
            close(); // whose its further answers are cannot be told
            return;
        }
        if (answer.follows > 0) {
            inPieces = true;
            relayed = answer;
            relay = a.over ? null : pool.pools.proxy.relays.begin(a, answer, this);
            if (relay == null) {
                end(a, answer.outcome, answer); // it stays in line for its pieces
                if (!anyWaitingBehind()) {
                    close(); // 4 MiB that nobody waits for cost more than a new connection
                }
            }
            return;
        }
        finished(a, answer);
    }

    /** The value that came in pieces is whole. */
    private void pieced() {
        inPieces = false;
        Attempt a = line.peek();
        if (relay != null) {
            Relay r = relay;
            relay = null;
            read(true);
            r.whole();
        }
        if (a != null) {
            finished(a, relayed);
        }
        relayed = null;
    }

    /** The attempt that was due an answer has it. */
    private void finished(Attempt a, Answer answer) {
        line.poll();
        answered = true;
        doubtful = answer.outcome != Router.Outcome.OK;
        if (line.isEmpty() && unsent.isEmpty() && !retired) {
            pool.idle(this);
        }
        if (!a.over) {
            end(a, answer.outcome, answer);
        }
        if (retired && !anyWaiting()) {
            close();
        }
    }

    /** Whether more is read from it. */
    void read(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** The client of the value that is being relayed has gone. */
    void abandon(Attempt a) {
        relay = null;
        read(true);
        if (!a.over) {
            giveUp(a);
            pool.pools.proxy.ended(a, Router.Outcome.CANCELLED, null);
        }
    }

    /** Whether an attempt in line still waits for its answer. */
    private boolean anyWaiting() {
        for (Attempt a : line) {
            if (!a.over) {
                return true;
            }
        }
        return false;
    }

    /** The same for those behind the one that is being answered. */
    private boolean anyWaitingBehind() {
        boolean first = true;
        for (Attempt a : line) {
            if (!first && !a.over) {
                return true;
            }
            first = false;
        }
        return false;
    }

    /** Whether an answer is of the kind and bears the id of the attempt that is due one. */
    private static boolean fits(Answer answer, Attempt a) {
        Command c = a.exchange.command;
        return c.opaque.equals(answer.opaque) && c.write != answer.isValue();
    }

    private void end(Attempt a, Router.Outcome outcome, Answer answer) {
        if (!a.over) {
            a.over = true;
            pool.pools.proxy.ended(a, outcome, answer);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        gone();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }

    /** The bytes of what is still in line were either written, and may run, or never will be. */
    void close() {
        if (!closed) {
            channel.close();
        }
        gone();
    }

    private void gone() {
        if (closed) {
            return;
        }
        closed = true;
        pool.removed(this);
        if (relay != null) {
            Relay r = relay;
            relay = null;
            r.brokenOff();
        }
        while (!line.isEmpty()) {
            Attempt a = line.poll();
            end(a, a.broken(), null);
        }
        while (!unsent.isEmpty()) {
            Attempt a = unsent.poll();
            end(a, a.broken(), null);
        }
    }
}
