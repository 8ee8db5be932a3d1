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
    private static final long SECOND_ANSWER_WINDOW_US = 50_000;

    final NodePool pool;
    final InetSocketAddress address;

    /** How long an attempt may wait for the connection to be established. */
    private final long dialTimeoutUs;

    private final NodeResponse.Decoder decoder;

    /** The attempts whose commands have been started, in the order of their answers. */
    private final ArrayDeque<Attempt> awaitingAnswer = new ArrayDeque<>();

    /** The attempts that have not been started; they come after {@link #awaitingAnswer}. */
    private final ArrayDeque<Attempt> unsent = new ArrayDeque<>();

    /** The attempts whose large values are being written. */
    private final ArrayDeque<Attempt> sending = new ArrayDeque<>();

    /** Bytes written of the value of the first one of {@link #sending}. */
    private int sentBytes;

    private Channel channel;
    private boolean established;
    private boolean everUsed;
    private boolean startScheduled;
    private boolean closed;

    /** An attempt was given up: a new one would have to wait for that one's answer. */
    private boolean retired;

    /** Takes the pieces of the value that is being received; null: they are discarded. */
    private ValueStream relay;

    /** A value is being received in pieces. */
    private boolean receivingPieces;

    private NodeResponse relayedAnswer;

    /** When it became idle last: after its last answer, or once established if nothing was sent on it. */
    long idleSinceUs;

    /** The last answer may have belonged to another command: failures and refusals have no id. */
    private boolean lastAnswerUncertain;

    private boolean anyAnswer;

    /** {@code decoder}: the handler before this one, which decodes what the node sends. */
    NodeConnection(
            NodePool pool,
            InetSocketAddress address,
            long dialTimeoutUs,
            NodeResponse.Decoder decoder) {
        this.pool = pool;
        this.address = address;
        this.dialTimeoutUs = dialTimeoutUs;
        this.decoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    int load() {
        return awaitingAnswer.size() + unsent.size();
    }

    /**
     * Whether the next answer without an id can only belong to the next command. Otherwise a refusal does not
     * prove that a write did not run: it may be a second answer to the previous command, or the late answer
     * to a command that such a second answer was taken to belong to.
     */
    boolean nextAnswerUnambiguous(long now) {
        long quietUs = now - pool.pools.proxy.recentStallUs(now) - idleSinceUs;
        return !anyAnswer || !lastAnswerUncertain && quietUs > SECOND_ANSWER_WINDOW_US;
    }

    boolean usable() {
        return !closed && !retired && sending.isEmpty() && (!established || channel.isActive());
    }

    void add(Attempt a) {
        a.connection = this;
        everUsed = true;
        unsent.add(a);
        startWaiting();
    }

    /** Starts the waiting attempts, each after the one before it has been written whole. */
    private void startWaiting() {
        while (established && !unsent.isEmpty() && sending.isEmpty() && !closed) {
            Attempt a = unsent.peek();
            if (!mayStart(a)) {
                unsent.poll();
                end(a, Router.Outcome.NOT_SENT, null);
            } else if (pool.pools.proxy.mayHaveLeft(a.exchange.session)) {
                startAfterNextReads();
                return;
            } else {
                unsent.poll();
                awaitingAnswer.add(a);
                write(a);
            }
        }
    }

    /**
     * False if the client has left or has its answer, if the node is draining or left out, or if the attempt
     * has waited longer than the dial timeout, which the router has reckoned with.
     */
    private boolean mayStart(Attempt a) {
        return !a.exchange.answered
                && pool.acceptsAttempts(this)
                && pool.pools.proxy.now() - a.sentUs <= dialTimeoutUs;
    }

    /** Tries again when it may be known whether the client has left. */
    private void startAfterNextReads() {
        if (!startScheduled) {
            startScheduled = true;
            pool.pools.proxy.transport.afterReads(
                    () -> {
                        startScheduled = false;
                        startFirst();
                    },
                    true);
        }
    }

    private void write(Attempt a) {
        long waitUs = a.waitUs - (pool.pools.proxy.now() - a.sentUs);
        Command c = a.exchange.command;
        if (c.isLarge()) {
            sending.add(a); // first: the write of its command line may call sendSlices()
        }
        ChannelFuture written = channel.writeAndFlush(c.encode(channel.alloc(), waitUs));
        if (c.isLarge()) {
            sendSlices();
        } else {
            written.addListener(f -> onWritten(a, f.isSuccess()));
        }
    }

    /** Writes large values in slices, so that little more is buffered than the socket takes. */
    private void sendSlices() {
        while (!sending.isEmpty() && channel.isWritable() && !closed) {
            Attempt a = sending.peek();
            if (!maySendOn(a)) {
                abandon(a);
                return;
            }
            Command c = a.exchange.command;
            int from = sentBytes;
            sentBytes += SLICE_BYTES;
            boolean last = sentBytes >= c.valueBytes();
            if (last) {
                sentBytes = 0;
                sending.poll();
            }
            // the write may call sendSlices() again, so the state was updated before it
            ChannelFuture written = channel.writeAndFlush(c.slice(from, SLICE_BYTES));
            if (last) {
                written.addListener(f -> onWritten(a, f.isSuccess()));
            }
        }
    }

    /**
     * Whether the rest of a command may be sent: not if its client has left or has its answer, nor if, sent
     * whole, it might run twice.
     */
    private boolean maySendOn(Attempt a) {
        return !a.done && !a.exchange.answered && a.mayStillBegin(pool.pools.proxy.now());
    }

    /** Ends an attempt whose command has been sent in part: the node never gets its last byte. */
    private void abandon(Attempt a) {
        end(a, Router.Outcome.NOT_SENT, null);
        retire();
    }

    private void onWritten(Attempt a, boolean whole) {
        if (whole) {
            a.written = true;
            pool.pools.proxy.figures().tries.add(1);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        sendSlices();
        if (!unsent.isEmpty() && sending.isEmpty()) {
            pool.pools.proxy.events.add(this::startWaiting); // as in channelActive
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        established = true;
        // the same pass of the event loop may still read that the waiting client has left
        pool.pools.proxy.events.add(this::startFirst);
    }

    private void startFirst() {
        startWaiting();
        if (everUsed && !anyAnswer && awaitingAnswer.isEmpty() && unsent.isEmpty() && !closed) {
            pool.onIdle(this); // the attempts that it was opened for have ended
        }
    }

    void onConnectDone(ChannelFuture f) {
        if (!f.isSuccess()) {
            pool.pools.countFailedDial();
            onClosed();
        }
    }

    /**
     * Stops waiting for an attempt. If no other attempt waits for an answer, the connection is closed, which
     * the node sees. Otherwise the connection takes nothing new, and the late answer is read and discarded in
     * its place in the order: taken for the next attempt's, it would serve a client another one's value. A
     * command that has been sent in part stays so. Returns whether the attempt may have run or may still run.
     * If not, it may be sent elsewhere.
     */
    boolean giveUp(Attempt a) {
        a.done = true;
        if (unsent.remove(a)) {
            if (awaitingAnswer.isEmpty() && unsent.isEmpty()) {
                close();
            }
            return false;
        }
        boolean staysIncomplete = sending.contains(a);
        retire();
        return a.written || !closed && !staysIncomplete;
    }

    /** Takes nothing new, and closes once no attempt waits for its answer. */
    private void retire() {
        retired = true;
        returnUnstarted();
        if (!anyWaiting()) {
            close();
        }
    }

    /** Ends the attempts that have not been started: they may be sent elsewhere. */
    void returnUnstarted() {
        boolean dialing = !established;
        for (Attempt a = unsent.poll(); a != null; a = unsent.poll()) {
            end(a, Router.Outcome.NOT_SENT, null);
        }
        if (dialing) {
            close(); // no attempt waits for it any more
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (message instanceof NodeResponse answer) {
            onAnswer(answer);
        } else if (message instanceof ByteBuf bytes) {
            if (relay != null) {
                relay.append(bytes.retain());
            }
        } else {
            valueComplete();
        }
    }

    private void onAnswer(NodeResponse answer) {
        Attempt a = awaitingAnswer.peek();
        if (a == null || closed) {
            close(); // an answer without a command
            return;
        }
        boolean ours = answer.outcome != Router.Outcome.OK || matches(answer, a);
        if (answer.protocolError || receivingPieces || !a.written || !ours) {
            pool.pools.log.line(
                    "node "
                            + pool.name
                            + " broke the protocol"
                            + (answer.protocolError
                                    ? ": " + Config.printable(answer.receipt)
                                    : ""));
            // RESET, not ERROR: the command may have run, and this tells nothing of capacity
            if (!receivingPieces) {
                awaitingAnswer.poll();
                end(a, Router.Outcome.RESET, null);
            }
            close(); // further answers cannot be matched to attempts
            return;
        }
        if (answer.streamedLength > 0) {
            receivingPieces = true;
            relayedAnswer = answer;
            relay = a.done ? null : pool.pools.proxy.relays.begin(a, answer, this);
            if (relay != null) {
                relay.start();
                return;
            }
            end(a, answer.outcome, answer); // it stays queued until its pieces are read
            if (!anyWaitingAfterFirst()) {
                close(); // discarding up to 4 MiB costs more than a new connection
            }
            return;
        }
        answerComplete(a, answer);
    }

    /** The value that was received in pieces is complete. */
    private void valueComplete() {
        receivingPieces = false;
        Attempt a = awaitingAnswer.peek();
        if (relay != null) {
            ValueStream r = relay;
            relay = null;
            channel.config().setAutoRead(true);
            r.completed();
        }
        if (a != null) {
            answerComplete(a, relayedAnswer);
        }
        relayedAnswer = null;
    }

    /** The first attempt of {@link #awaitingAnswer} has its whole answer. */
    private void answerComplete(Attempt a, NodeResponse answer) {
        awaitingAnswer.poll();
        anyAnswer = true;
        lastAnswerUncertain = answer.outcome != Router.Outcome.OK;
        if (awaitingAnswer.isEmpty() && unsent.isEmpty() && !retired) {
            pool.onIdle(this);
        }
        if (!a.done) {
            end(a, answer.outcome, answer);
        }
        if (retired && !anyWaiting()) {
            close();
        }
    }

    /** Turns reading on or off for a stream; without effect unless its value is being received. */
    void setReading(ValueStream stream, boolean on) {
        if (relay == stream) {
            channel.config().setAutoRead(on);
        }
    }

    /**
     * The client that a value is streamed to has left. A value that has been received whole may still wait
     * for its client, while this connection serves other attempts, whose values must go on.
     */
    void stopRelaying(ValueStream stream, Attempt a) {
        if (relay != stream) {
            return;
        }
        setReading(stream, true);
        relay = null;
        if (!a.done) {
            giveUp(a);
            pool.pools.proxy.attemptEnded(a, Router.Outcome.CANCELLED, null);
        }
    }

    /** Whether an attempt that was not given up waits for its answer. */
    private boolean anyWaiting() {
        for (Attempt a : awaitingAnswer) {
            if (!a.done) {
                return true;
            }
        }
        return false;
    }

    /** The same for the attempts after the first. */
    private boolean anyWaitingAfterFirst() {
        boolean first = true;
        for (Attempt a : awaitingAnswer) {
            if (!first && !a.done) {
                return true;
            }
            first = false;
        }
        return false;
    }

    /** Whether an answer has the kind and the id that this attempt calls for. */
    private static boolean matches(NodeResponse answer, Attempt a) {
        Command c = a.exchange.command;
        return c.opaque.equals(answer.opaque) && c.write != answer.isValue();
    }

    private void end(Attempt a, Router.Outcome outcome, NodeResponse answer) {
        if (!a.done) {
            a.done = true;
            pool.pools.proxy.attemptEnded(a, outcome, answer);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }

    /**
     * Closes the connection. Attempts still on it were written, and may run, or never will be: the connection
     * is reset, as the system would otherwise go on sending what it holds of their commands.
     */
    void close() {
        if (!closed) {
            if (!awaitingAnswer.isEmpty()) {
                Sockets.resetOnClose(channel);
            }
            channel.close();
        }
        onClosed();
    }

    private void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        decoder.discardInput();
        pool.onClosed(this);
        if (relay != null) {
            ValueStream r = relay;
            relay = null;
            r.nodeFailed();
        }
        while (!awaitingAnswer.isEmpty()) {
            Attempt a = awaitingAnswer.poll();
            end(a, a.outcomeIfDisconnected(), null);
        }
        while (!unsent.isEmpty()) {
            Attempt a = unsent.poll();
            end(a, a.outcomeIfDisconnected(), null);
        }
    }
}
