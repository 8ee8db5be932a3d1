package holdproxy.daemon;

import holdproxy.input.BadInput;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** HTTP server for the {@link AdminApi} of a control machine; one request per connection. */
final class AdminServer implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 32;
    private static final int IDLE_TIMEOUT_S = 30;

    /** Handles the requests; called on the event loop. */
    interface Operations {
        /** Completes with {@link AdminApi.Published} or {@link AdminApi.Failure}. */
        CompletableFuture<Object> publish(AdminApi.PublishRequest request);

        AdminApi.Versions versions();
    }

    private final EventLoop loop;
    private final Operations operations;
    private Channel listener;
    private int connections;

    AdminServer(EventLoop loop, Operations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        onAccept(channel);
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        return bound;
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private void onAccept(SocketChannel channel) {
        if (connections >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        connections++;
        channel.closeFuture().addListener(closed -> connections--);
        channel.pipeline()
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(AdminApi.MAX_REQUEST_BYTES))
                .addLast(new RequestHandler());
    }

    /** Handles the one request of a connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                respond(ctx, HttpResponseStatus.BAD_REQUEST, failure("malformed HTTP request"));
            } else if (request.uri().equals(AdminApi.VERSIONS_PATH)
                    && request.method().equals(HttpMethod.GET)) {
                respond(ctx, HttpResponseStatus.OK, operations.versions());
            } else if (request.uri().equals(AdminApi.CHANGES_PATH)
                    && request.method().equals(HttpMethod.POST)) {
                publish(ctx, ByteBufUtil.getBytes(request.content()));
            } else {
                respond(
                        ctx,
                        HttpResponseStatus.NOT_FOUND,
                        failure(
                                "unknown path or method; supported are GET "
                                        + AdminApi.VERSIONS_PATH
                                        + " and POST "
                                        + AdminApi.CHANGES_PATH));
            }
        }

        private void publish(ChannelHandlerContext ctx, byte[] body) {
            AdminApi.PublishRequest request;
            try {
                request = AdminApi.fromJson(AdminApi.PublishRequest.class, body);
            } catch (BadInput e) {
                respond(ctx, HttpResponseStatus.BAD_REQUEST, failure(e.getMessage()));
                return;
            }
            operations
                    .publish(request)
                    .whenComplete(
                            (result, failed) -> {
                                Object reply = failed == null ? result : failure(failed.toString());
                                respond(ctx, status(reply), reply);
                            });
        }

        private HttpResponseStatus status(Object reply) {
            if (reply instanceof AdminApi.Failure failure) {
                return failure.retry()
                        ? HttpResponseStatus.SERVICE_UNAVAILABLE
                        : HttpResponseStatus.UNPROCESSABLE_ENTITY;
            }
            return HttpResponseStatus.OK;
        }

        private AdminApi.Failure failure(String error) {
            return new AdminApi.Failure(error, false);
        }

        private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, Object reply) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            status,
                            Unpooled.wrappedBuffer(AdminApi.toJson(reply)));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close(); // the only user event is the idle time-out
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
