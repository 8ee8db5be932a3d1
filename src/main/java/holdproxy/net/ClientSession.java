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

/** One client connection. Each request gets exactly one response, written in request order. */
final class ClientSession extends SimpleChannelInboundHandler<Object> {
    /** Requests that may wait for their responses; further ones are refused, in order. */
    private static final int MAX_WAITING = 128;

    private static final String BUSY = "SERVER_ERROR busy";
    private static final String FAILED = "SERVER_ERROR failed";
    private static final String INCOMPLETE = "CLIENT_ERROR incomplete command";

    /** A client that takes none of its responses for this long is gone, though it may never disconnect. */
    private static final int UNWRITABLE_TIMEOUT_MS = 10_000;

    /**
     * A client that sends no complete command must get an error or be disconnected within 3 s, because it
     * occupies a connection.
     */
    static final int FIRST_COMMAND_TIMEOUT_MS = 2500;

    /** The same for a later command that has begun, counted from the last byte that arrived of it. */
    static final int INCOMPLETE_COMMAND_TIMEOUT_MS = 2500;

    /**
     * A client that is sending a large value must be disconnected within 6 s. It keeps its connection up to
     * this limit as long as it has sent more of the value within {@link #MAX_PART_GAP_MS}.
     */
    private static final int LARGE_COMMAND_TIMEOUT_MS = 5_500;

    private static final int MAX_PART_GAP_MS = 400;

    /** After so many lines in a row that are no command, the connection is closed. */
    private static final int MAX_UNKNOWN_COMMANDS = 16;

    /** A request's position in the response order. */
    static final class Slot {
        private ByteBuf answer;
        private Exchange exchange;

        /** Streams the value; null for a response that is written whole. */
        private ValueStream stream;

        /** Consecutive refused requests that this slot stands for, counted but not stored; 0: none. */
        private int refused;

        private boolean ready() {
            return answer != null || refused > 0;
        }
    }

    private final Proxy proxy;
    private final CommandDecoder decoder;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private Channel channel;
    private Future<?> firstCommandTimer;
    private Future<?> incompleteCommandTimer;
    private Future<?> unwritableTimer;

    /** When the last part of a large value arrived. */
    private long lastPartUs = Long.MIN_VALUE / 2;

    /** Bytes of complete responses that have not been written to the client's socket. */
    private int unwrittenBytes;

    private final UndeliveredBytes undelivered =
            new UndeliveredBytes(Sockets.MAX_UNDELIVERED_BYTES);

    /** Lines in a row, up to the last one read, that were no command. */
    private int unknownCommands;

    private boolean ignoringInput;
    private boolean closing;

    /** The command that was half received when the connection began to close is still served. */
    private boolean servesBegunCommand;

    private boolean refusing;
    private boolean outputClosing;
    private boolean writing;

    /** {@code decoder}: the handler before this one, which decodes what the client sends. */
    ClientSession(Proxy proxy, CommandDecoder decoder) {
        this.proxy = proxy;
        this.decoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        firstCommandTimer =
                ctx.executor()
                        .schedule(
                                () -> onFirstCommandTimeout(ctx, FIRST_COMMAND_TIMEOUT_MS),
                                FIRST_COMMAND_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
        proxy.reception.opened(this);
    }

    /** Ends a connection without a complete command; a client still sending a large value gets more time. */
    private void onFirstCommandTimeout(ChannelHandlerContext ctx, int afterMs) {
        if (proxy.now() - lastPartUs <= MAX_PART_GAP_MS * 1000L
                && afterMs < LARGE_COMMAND_TIMEOUT_MS) {
            firstCommandTimer =
                    ctx.executor()
                            .schedule(
                                    () -> onFirstCommandTimeout(ctx, afterMs + MAX_PART_GAP_MS),
                                    MAX_PART_GAP_MS,
                                    TimeUnit.MILLISECONDS);
        } else {
            // also the response to a command that arrives meanwhile, which is not forwarded
            write(line("CLIENT_ERROR no command"));
            shutDownOutput();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        cancelIncompleteCommandTimer();
        if (firstCommandTimer.isDone() && decoder.isIncomplete()) {
            incompleteCommandTimer =
                    ctx.executor()
                            .schedule(
                                    () -> endUnfinishedCommand(INCOMPLETE),
                                    INCOMPLETE_COMMAND_TIMEOUT_MS,
                                    TimeUnit.MILLISECONDS);
        }
        if (slots.isEmpty() && channel.isActive()) {
            onAllAnswered();
        }
        ctx.fireChannelReadComplete();
    }

    private void cancelIncompleteCommandTimer() {
        if (incompleteCommandTimer != null) {
            incompleteCommandTimer.cancel(false);
            incompleteCommandTimer = null;
        }
    }

    /** Answers a command that is half received, behind the answers that are due, and then closes. */
    private void endUnfinishedCommand(String line) {
        if (ignoringInput) {
            return;
        }
        firstCommandTimer.cancel(false);
        endInput();
        Slot slot = new Slot();
        slots.add(slot);
        answer(slot, line);
    }

    /** Refuses a command that is half received, if there is one, and then closes the connection. */
    void refuseUnfinishedCommand() {
        if (decoder.isIncomplete()) {
            endUnfinishedCommand(BUSY);
        }
    }

    /** The connection limit is reached: this connection is closed after refusing its first request. */
    void refuseRequests() {
        refusing = true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (message == Command.VALUE_PART) {
            lastPartUs = proxy.now();
            return;
        }
        firstCommandTimer.cancel(false);
        if (ignoringInput) {
            // framing is lost or output is shut down: the client has to retry elsewhere
            return;
        }
        unknownCommands = message == Command.UNKNOWN_COMMAND ? unknownCommands + 1 : 0;
        boolean closed = closing && !servesBegunCommand;
        servesBegunCommand = false;
        if (closed || slots.size() >= MAX_WAITING) {
            refuseExcess(message);
            return;
        }
        Slot slot = new Slot();
        slots.add(slot);
        proxy.reception.busy(this);
        if (message instanceof Command.ValueDropped t) {
            answer(slot, proxy.shedAnswer(t.command()));
        } else if (refusing && message instanceof Command c) {
            closing = true;
            answer(slot, proxy.shedAnswer(c));
        } else if (message instanceof Command c) {
            slot.exchange = proxy.request(this, slot, c);
        } else if (message instanceof Command.Greeting) {
            answer(slot, "MN");
        } else if (message instanceof Command.Fault f) {
            if (endsInput(f)) {
                endInput();
            }
            answer(slot, f.line());
        }
    }

    /** Whether nothing after this line can be decoded, or the peer is no client. */
    private boolean endsInput(Command.Fault fault) {
        return fault.close() || unknownCommands >= MAX_UNKNOWN_COMMANDS;
    }

    /** Takes no more requests; closes the connection once those that were taken are answered. */
    private void endInput() {
        closing = true;
        ignoreInput();
    }

    private void ignoreInput() {
        ignoringInput = true;
        decoder.discardInput();
    }

    /** How long the client may have left without that having been noticed, in microseconds. */
    long inputDelayUs(long now) {
        return decoder.inputDelayUs(now);
    }

    /**
     * Refuses a request because too many are waiting or the connection is closing. Reading goes on even then:
     * otherwise the client's disconnect would go unnoticed and its waiting requests would still be sent to
     * nodes. Refused requests are only counted, which bounds memory, and are answered in order.
     */
    private void refuseExcess(Object message) {
        if (message instanceof Command.Fault f && endsInput(f)) {
            endInput();
        } else if (message instanceof Command c) {
            proxy.shedAnswer(c);
        } else if (message instanceof Command.ValueDropped t) {
            proxy.shedAnswer(t.command());
        }
        Slot last = slots.peekLast();
        if (last == null || last.refused == 0) {
            last = new Slot();
            slots.add(last);
        }
        last.refused++;
        if (slots.peek() == last) {
            writeReady();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        undelivered.full(proxy.now());
        updateUnwritableTimer(ctx);
        if (!slots.isEmpty() && slots.peek().stream != null) {
            slots.peek().stream.pump();
        } else if (!slots.isEmpty() && channel.isWritable()) {
            writeReady();
        }
    }

    private void updateUnwritableTimer(ChannelHandlerContext ctx) {
        if (unwritableTimer != null && channel.isWritable()) {
            unwritableTimer.cancel(false);
            unwritableTimer = null;
        } else if (unwritableTimer == null && !channel.isWritable()) {
            unwritableTimer =
                    ctx.executor()
                            .schedule(
                                    () -> {
                                        if (slots.isEmpty() || slots.peek().stream == null) {
                                            // a streamed value has its own check
                                            channel.close();
                                        }
                                    },
                                    UNWRITABLE_TIMEOUT_MS,
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
     * Sets the response of a slot; it is written once those before it have been. Returns false if an error
     * replaced it: clients that do not read their responses must neither fill the proxy's memory nor take
     * room from clients that do.
     */
    boolean answer(Slot slot, ByteBuf answer) {
        if (slot.answer != null || !channel.isActive()) {
            answer.release();
            return true;
        }
        int size = answer.readableBytes();
        boolean accepted =
                size <= FAILED.length() || proxy.hasUnreadRoom(size, unwrittenBytes == 0);
        if (!accepted) {
            answer.release();
        }
        slot.answer = accepted ? answer : line(FAILED);
        slot.exchange = null;
        addUnwritten(slot.answer.readableBytes());
        writeReady();
        return accepted;
    }

    private void addUnwritten(int change) {
        unwrittenBytes += change;
        proxy.addUnreadBytes(change);
    }

    /** Writes ready responses in order while the channel is writable, then resumes a streamed value. */
    private void writeReady() {
        if (writing) {
            return; // called from a flush in the loop below, which continues
        }
        writing = true;
        boolean any = false;
        while (!slots.isEmpty() && channel.isWritable() && writeFirst()) {
            any = true;
            if (slots.isEmpty() || !channel.isWritable() || !slots.peek().ready()) {
                channel.flush();
            }
        }
        writing = false;
        if (!slots.isEmpty()) {
            if (any && slots.peek().stream != null) {
                slots.peek().stream.pump();
            }
        } else {
            onAllAnswered();
        }
    }

    /**
     * Closes the connection if it is to be closed. A command of which a part has been read is owed an answer,
     * as one that was read whole is: it is waited for.
     */
    private void onAllAnswered() {
        if (decoder.hasUnfinishedInput()) {
            proxy.reception.receiving(this);
        } else if (closing) {
            shutDownOutput();
        } else {
            proxy.reception.idle(this);
        }
    }

    /** Writes the response, or one refusal, of the first slot; returns false if it has none yet. */
    private boolean writeFirst() {
        Slot first = slots.peek();
        if (first.answer != null) {
            slots.poll();
            int size = first.answer.readableBytes();
            write(first.answer).addListener(f -> addUnwritten(-size));
        } else if (first.refused > 0) {
            if (--first.refused == 0) {
                slots.poll();
            }
            write(line(BUSY));
        } else {
            return false;
        }
        return true;
    }

    // ---- for streamed values ----

    void setStream(Slot slot, ValueStream stream) {
        slot.stream = stream;
    }

    boolean isFirst(Slot slot) {
        return slots.peek() == slot;
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    ChannelFuture write(ByteBuf bytes) {
        undelivered.written(bytes.readableBytes(), proxy.now());
        return channel.write(bytes);
    }

    void flush() {
        channel.flush();
    }

    /** The streamed value of the first slot has been written to its end. */
    void streamFinished(Slot slot) {
        slots.remove(slot);
        if (!slots.isEmpty() && slots.peek().stream != null) {
            slots.peek().stream.pump();
        } else {
            writeReady();
        }
    }

    void abort() {
        channel.close();
    }

    /**
     * Closes the connection once all requests read from it are answered, and the one that is half received;
     * later ones are refused.
     */
    void close() {
        closing = true;
        servesBegunCommand = decoder.isIncomplete();
        if (slots.isEmpty()) {
            onAllAnswered();
        }
    }

    /** Ends the connection behind what has been written; nothing that arrives from now on is a request. */
    private void shutDownOutput() {
        if (outputClosing || !channel.isActive()) {
            return;
        }
        outputClosing = true;
        closing = true;
        ignoreInput();
        proxy.reception.ending(this);
        new LingeringClose(channel, proxy.transport, undelivered, proxy::now).begin();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        firstCommandTimer.cancel(false);
        cancelIncompleteCommandTimer();
        if (unwritableTimer != null) {
            unwritableTimer.cancel(false);
        }
        proxy.reception.closed(this);
        for (Slot s : slots) {
            if (s.answer != null) {
                addUnwritten(-s.answer.readableBytes());
                s.answer.release();
            } else if (s.stream != null) {
                s.stream.clientGone();
            } else if (s.exchange != null) {
                proxy.clientDisconnected(s.exchange);
            }
        }
        slots.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close(); // an I/O error affects this connection only
    }
}
