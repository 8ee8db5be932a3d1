package holdproxy.console;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The operators' console. A connection carries one command line; the answer begins with {@code OK} or {@code
 * ERR}, or is the figures followed by {@code END}. Runs on its own event loop, so that it answers even while
 * the proxy's loop is delayed.
 */
public final class Console {
    /** Maximum number of descriptors: callers, one being rejected, the listener, the selector's. */
    public static final int DESCRIPTORS = 24;

    static final int MAX_CALLERS = 16;
    static final int MAX_LINE_BYTES = 256;

    /** Time within which a caller must send its command. */
    static final int COMMAND_TIMEOUT_MS = 5_000;

    /** Time the caller has after the answer to read it and close the connection. */
    private static final int LINGER_MS = 1_000;

    private static final int BIND_RETRY_MS = 200;
    private static final int BACKLOG = 64;

    /** A caller that stops within its line holds a buffer of this size. */
    private static final int READ_BYTES = 1024;

    private final EventLoop loop;
    private final ConsoleOperations operations;
    private final Consumer<String> log;

    /** Connections whose command is incomplete, oldest first. */
    private final Set<Channel> waiting = new LinkedHashSet<>();

    private int callers;
    private boolean bindFailureLogged;

    /** {@code log} receives log lines, on the loop's thread. */
    public Console(EventLoop loop, ConsoleOperations operations, Consumer<String> log) {
        this.loop = loop;
        this.operations = operations;
        this.log = log;
    }

    /**
     * Listens on the address, retrying until that succeeds: the proxy works without its console, and the
     * previous process may hold the address a moment longer. {@code listening} then receives the channel.
     */
    public void listen(InetSocketAddress address, Consumer<Channel> listening) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(READ_BYTES))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        ch.pipeline()
                                                .addLast(
                                                        new LineBasedFrameDecoder(
                                                                MAX_LINE_BYTES, true, true),
                                                        new CommandHandler());
                                    }
                                })
                        .bind(address);
        bound.addListener(
                (ChannelFutureListener)
                        f -> {
                            if (f.isSuccess()) {
                                listening.accept(f.channel());
                                return;
                            }
                            if (!bindFailureLogged) {
                                bindFailureLogged = true;
                                log.accept(
                                        "the console cannot listen on "
                                                + address
                                                + ", retrying: "
                                                + f.cause().getMessage());
                            }
                            loop.schedule(
                                    () -> listen(address, listening),
                                    BIND_RETRY_MS,
                                    TimeUnit.MILLISECONDS);
                        });
    }

    /** Handles one connection. */
    final class CommandHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean commandReceived;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            callers++;
            if (callers > MAX_CALLERS) {
                if (waiting.isEmpty()) {
                    ctx.close(); // every other caller is being answered
                    return;
                }
                Channel oldest = waiting.iterator().next();
                waiting.remove(oldest);
                oldest.close();
            }
            waiting.add(ctx.channel());
            ctx.executor()
                    .schedule(
                            () -> {
                                if (!commandReceived) {
                                    answer(ctx, "ERR no call within " + COMMAND_TIMEOUT_MS + " ms");
                                }
                            },
                            COMMAND_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            callers--;
            waiting.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (!commandReceived) {
                handle(ctx, line.toString(StandardCharsets.ISO_8859_1).strip());
            }
        }

        private void handle(ChannelHandlerContext ctx, String line) {
            String[] words = line.split(" +");
            boolean leaveOut = words[0].equals("set-down");
            if (!line.chars().allMatch(c -> c >= ' ' && c < 0x7f)) {
                answer(ctx, "ERR the line is no text");
            } else if (leaveOut || words[0].equals("set-up")) {
                if (words.length != 2) {
                    answer(ctx, "ERR " + words[0] + " takes the id of one cache node");
                    return;
                }
                markReceived(ctx);
                operations.setNodeExcluded(
                        words[1],
                        leaveOut,
                        why ->
                                ctx.executor()
                                        .execute(
                                                () ->
                                                        answer(
                                                                ctx,
                                                                why == null
                                                                        ? "OK"
                                                                        : "ERR " + why)));
            } else if (!words[0].equals("check") && !words[0].equals("vars")) {
                answer(
                        ctx,
                        "ERR unknown call"
                                + (line.isEmpty() ? "" : " " + words[0])
                                + "; known are check, vars, set-down ID, set-up ID");
            } else if (words.length != 1) {
                answer(ctx, "ERR " + words[0] + " takes no argument");
            } else if (words[0].equals("check")) {
                answer(
                        ctx,
                        operations.acceptsClients() ? "OK" : "ERR this process takes no clients");
            } else {
                answer(ctx, operations.figures().text() + "END");
            }
        }

        /** From here on, what the caller sends is discarded without being split into lines. */
        private void markReceived(ChannelHandlerContext ctx) {
            commandReceived = true;
            waiting.remove(ctx.channel());
            if (ctx.pipeline().get(LineBasedFrameDecoder.class) != null) {
                ctx.pipeline().remove(LineBasedFrameDecoder.class);
            }
        }

        /**
         * Sends the answer and shuts down the output. An immediate close with unread input would reset the
         * connection and could lose the answer.
         */
        private void answer(ChannelHandlerContext ctx, String text) {
            markReceived(ctx);
            ctx.writeAndFlush(Unpooled.copiedBuffer(text + "\r\n", StandardCharsets.ISO_8859_1))
                    .addListener(
                            f -> {
                                if (ctx.channel() instanceof SocketChannel s) {
                                    s.shutdownOutput();
                                    ctx.executor()
                                            .schedule(
                                                    () -> ctx.close(),
                                                    LINGER_MS,
                                                    TimeUnit.MILLISECONDS);
                                } else {
                                    ctx.close();
                                }
                            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof io.netty.handler.codec.TooLongFrameException && !commandReceived) {
                answer(ctx, "ERR the line is longer than " + MAX_LINE_BYTES + " bytes");
            } else if (!commandReceived) {
                ctx.close(); // a connection error affects only this caller
            }
        }
    }
}
