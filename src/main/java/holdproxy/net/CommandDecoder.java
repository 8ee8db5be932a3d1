package holdproxy.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Decodes commands from a client connection: each becomes a {@link Command}, a {@link Command.ValueDropped},
 * a {@link Command.Greeting} or a {@link Command.Fault}. {@link Command#VALUE_PART} is emitted as parts of a
 * large value arrive. The decoder handles a bounded number of lines in one iteration of the event loop. A
 * connection with more input than that is not read until its next turn.
 */
final class CommandDecoder extends MetaDecoder implements InputScheduler.Connection {
    /** As many as may wait for their responses on one connection. */
    static final int LINES_PER_TURN = 128;

    private final Command.Names names;
    private final InputScheduler scheduler;
    private ChannelHandlerContext context;
    private int linesLeft = LINES_PER_TURN;
    private boolean queued;
    private final InputBacklog backlog;
    private final Command.InputBudgets budgets;
    private Command pending;
    private String pendingFault;

    /**
     * {@code budgets}: the memory for values that are still arriving; {@code lastReadUs}: when at the
     * latest all sockets were read before, in microseconds.
     */
    CommandDecoder(
            Command.Names names,
            Command.InputBudgets budgets,
            InputScheduler scheduler,
            LongSupplier lastReadUs) {
        this.names = names;
        this.budgets = budgets;
        this.scheduler = scheduler;
        backlog = new InputBacklog(scheduler, lastReadUs);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    boolean admitsLine() {
        if (linesLeft == 0) {
            context.channel().config().setAutoRead(false);
        }
        return linesLeft > 0;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        super.channelReadComplete(ctx);
        backlog.readDone();
        if (linesLeft == 0 && hasUndecodedInput()) {
            awaitTurn();
        } else {
            endTurns();
        }
    }

    private void awaitTurn() {
        backlog.pause();
        if (!queued) {
            queued = true;
            scheduler.add(this);
        }
    }

    private void endTurns() {
        linesLeft = LINES_PER_TURN;
        context.channel().config().setAutoRead(true);
        if (Sockets.lastReadWasFull(context.channel())) {
            backlog.begin();
        }
        backlog.resume();
    }

    /** Decodes as if more input had been read, so that all handlers see a read and its end. */
    @Override
    public void resume() {
        queued = false;
        linesLeft = LINES_PER_TURN;
        context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
        context.pipeline().fireChannelReadComplete();
    }

    /** How long the client may have left without that having been noticed, in microseconds. */
    long inputDelayUs(long now) {
        return backlog.ageUs(now);
    }

    @Override
    int onLine(String line, List<Object> out) {
        linesLeft--;
        String[] tokens = line.split(" ");
        String verb = tokens.length == 0 ? "" : tokens[0];
        boolean write = verb.equals("ms");
        if (line.equals("mn")) {
            out.add(new Command.Greeting());
        } else if (!write && !verb.equals("mg")) {
            out.add(Command.UNKNOWN_COMMAND);
        } else if (tokens.length < (write ? 3 : 2)) {
            out.add(new Command.Fault("CLIENT_ERROR bad command line format", write));
        } else {
            return request(line, tokens, write, out);
        }
        return NO_BLOCK;
    }

    private int request(String line, String[] tokens, boolean write, List<Object> out) {
        int length = write ? parseNumber(tokens[2]) : NO_BLOCK;
        try {
            pending = new Command(line, tokens, write, names);
            pendingFault = null;
            if (!write) {
                out.add(pending);
            }
        } catch (Command.MalformedCommandException e) {
            pendingFault = "CLIENT_ERROR " + e.getMessage();
            if (!write) {
                out.add(new Command.Fault(pendingFault, false));
            }
        }
        return length;
    }

    @Override
    void onBlock(byte[] value, List<Object> out) {
        if (value.length > MAX_BUFFERED_VALUE_BYTES) {
            backlog.restart(); // it takes many reads of a client that has not left
        }
        if (pendingFault != null) {
            out.add(new Command.Fault(pendingFault, false));
        } else {
            pending.value(value);
            out.add(pending);
        }
        pending = null;
    }

    @Override
    ByteBudget budgetFor(int length) {
        return length > MAX_BUFFERED_VALUE_BYTES ? budgets.largeValues() : budgets.smallValues();
    }

    @Override
    void onPartCollected(List<Object> out) {
        out.add(Command.VALUE_PART);
    }

    @Override
    void onBlockDropped(List<Object> out) {
        if (pendingFault != null) {
            out.add(new Command.Fault(pendingFault, false));
        } else {
            out.add(new Command.ValueDropped(pending));
        }
        pending = null;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        super.handlerRemoved0(ctx);
        scheduler.remove(this);
    }

    @Override
    void onProtocolError(String why, List<Object> out) {
        pending = null;
        out.add(new Command.Fault("CLIENT_ERROR " + why, true));
    }
}
