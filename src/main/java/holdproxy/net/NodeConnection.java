package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** One connection to a cache node. Answers come in the order of the attempts, which are pipelined. */
final class NodeConnection extends SimpleChannelInboundHandler<Object> {
    private static final int SLICE_BYTES = 32 * 1024;

    /** How long after an answer a node may send a second one, without an id, to the same command. */
    private static final long SECOND_ANSWER_US = 50_000;

    final NodePool pool;
    final InetSocketAddress address;

    /** How long an attempt may wait for the connection to be established. */
    private final long dialUs;

    /** The attempts whose commands have been started, in the order of their answers. */
    private final ArrayDeque<Attempt> line = new ArrayDeque<>();

    /** The attempts that have not been started; they come after those of {@link #line}. */
    private final ArrayDeque<Attempt> unsent = new ArrayDeque<>();

    /** The attempts whose large values are being written. */
    private final ArrayDeque<Attempt> sending = new ArrayDeque<>();

    /** Bytes written of the value of the first one of {@link #sending}. */
    private int sent;

    private Channel channel;
    private boolean up;
    private boolean wanted;
    private boolean closed;

    /** An attempt was given up: a new one would have to wait for that one's answer. */
    private boolean retired;

    /** Takes the pieces of the value that is being received; null: they are discarded. */
    private Relay relay;

    /** A value is being received in pieces. */
    private boolean inPieces;

    private Answer relayed;

    /** When it became idle last: after its last answer, or once established if nothing was sent on it. */
    long idleSinceUs;

    /** The last answer may have belonged to another command: failures and refusals have no id. */
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
     * Whether the next answer without an id can only belong to the next command. Otherwise a refusal does not
     * prove that a write did not run: it may be a second answer to the previous command, or the late answer
     * to a command that such a second answer was taken to belong to.
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

    /** Starts the waiting attempts, each after the one before it has been written whole. */
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
     * False if the client has left or has its answer, if the node is draining or left out, or if the attempt
     * has waited longer than the dial timeout, which the router has reckoned with.
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
            sending.add(a); // first: the write of its command line may call send()
        }
        ChannelFuture written = channel.writeAndFlush(c.encode(channel.alloc(), waitUs));
        if (c.large()) {
            send();
        } else {
            written.addListener(f -> written(a, f.isSuccess()));
        }
    }

    /** Writes large values in slices, so that little more is buffered than the socket takes. */
    private void send() {
        while (!sending.isEmpty() && channel.isWritable() && !closed) {
            Attempt a = sending.peek();
            if (pool.pools.proxy.now() >= a.lastByteByUs) {
                line.remove(a);
                end(a, Router.Outcome.NOT_SENT, null); // sent whole, it might run twice
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
            // the write may call send() again, so the state was updated before it
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
            pool.pools.proxy.events.add(this::begin); // as in channelActive
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        up = true;
        // the same pass of the event loop may still read that the waiting client has left
        pool.pools.proxy.events.add(this::beginFirst);
    }

    private void beginFirst() {
        begin();
        if (wanted && !answered && line.isEmpty() && unsent.isEmpty() && !closed) {
            pool.idle(this); // the attempts that it was opened for have ended
        }
    }

    void dialed(ChannelFuture f) {
        if (!f.isSuccess()) {
            pool.pools.dialFailed();
            gone();
        }
    }

    /**
     * Stops waiting for an attempt. If no other attempt waits for an answer, the connection is closed, which
     * the node sees. Otherwise the connection takes nothing new, and the late answer is read and discarded in
     * its place in the order: taken for the next attempt's, it would serve a client another one's value.
     * Returns whether the attempt may have run or may still run. If not, it may be sent elsewhere, so its
     * bytes must not be written here later.
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

    /** Ends the attempts that have not been started: they may be sent elsewhere. */
    void handBack() {
        boolean dialing = !up;
        for (Attempt a = unsent.poll(); a != null; a = unsent.poll()) {
            end(a, Router.Outcome.NOT_SENT, null);
        }
        if (dialing) {
            close(); // no attempt waits for it any more
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
            close(); // an answer without a command
            return;
        }
        boolean ours = answer.outcome != Router.Outcome.OK || fits(answer, a);
        if (answer.broken || inPieces || !a.written || !ours) {
            pool.pools.log.line(
                    "node "
                            + pool.name
                            + " broke the protocol"
                            + (answer.broken ? ": " + Config.shown(answer.receipt) : ""));
            // RESET, not ERROR: the command may have run, and this tells nothing of capacity
            if (!inPieces) {
                line.poll();
                end(a, Router.Outcome.RESET, null);
            }
            close(); // further answers cannot be matched to attempts
            return;
        }
        if (answer.follows > 0) {
            inPieces = true;
            relayed = answer;
            relay = a.over ? null : pool.pools.proxy.relays.begin(a, answer, this);
            if (relay == null) {
                end(a, answer.outcome, answer); // it stays in line until its pieces are read
                if (!anyWaitingBehind()) {
                    close(); // discarding up to 4 MiB costs more than a new connection
                }
            }
            return;
        }
        finished(a, answer);
    }

    /** The value that was received in pieces is complete. */
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

    /** The first attempt in line has its whole answer. */
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

    /** Turns reading from the connection on or off. */
    void read(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** The client that the value is being relayed to has left. */
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

    /** Whether an attempt in line, other than the first, still waits for its answer. */
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

    /** Whether an answer has the kind and the id that this attempt calls for. */
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

    /** Closes the connection. Attempts still on it were written, and may run, or never will be. */
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
