package holdproxy.net;

import holdproxy.console.Console;
import holdproxy.console.Figures;
import holdproxy.console.Operations;
import holdproxy.input.BadInput;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.ExecutionException;

/** The process around a proxy: what it inherits at its start, the signals that it heeds, and its console. */
public final class Service implements Operations {
    /** The longest that it goes on after SIGTERM, which SIGKILL follows after 3.7 s. */
    private static final long DRAIN_MOST_MS = 3_600;
    private static final int BIND_TRIES = 30;
    private static final int BIND_WAIT_MS = 100;

    private final Proxy proxy;
    private final EventLoop loop;
    private final Log log;

    private Service(Proxy proxy, EventLoop loop, Log log) {
        this.proxy = proxy;
        this.loop = loop;
        this.log = log;
    }

    /** Runs a proxy until SIGTERM; at SIGHUP it reads its configuration again. */
    public static void serve(Map<String, String> env) {
        Log log = new Log(Time.system());
        NettyLog.install(log);
        Config config = Config.load(env);
        ServerSocketChannel inherited = inherited(env);
        Rehearsal.run(config);
        EventLoop loop = loop();
        Proxy proxy = start(config, loop, inherited);
        Service service = new Service(proxy, loop, log);
        Hangup.handle(() -> reload(proxy, loop, env));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            service.drain();
            Runtime.getRuntime().halt(0);
        }, "drain"));
        if (config.console != null) {
            service.console(config);
        }
        // last: from here on signals are heeded
        loop.execute(() -> proxy.log("listening on " + proxy.address()));
    }

    static EventLoop loop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** A proxy on this loop, once it listens: on the socket that was inherited, or on one of its own. */
    static Proxy start(Config config, EventLoop loop, ServerSocketChannel inherited) {
        Time time = Time.system();
        try {
            Proxy proxy = loop.submit(
                () -> new Proxy(config, loop, time, new Sockets(loop, inherited), new Log(time))).get();
            loop.submit(proxy::begin).get();
            ChannelFuture bound = proxy.listen().await();
            for (int i = 0; i < BIND_TRIES && bound.cause() instanceof BindException; i++) {
                // after a restart the one before may hold the address a moment longer
                Thread.sleep(BIND_WAIT_MS);
                bound = proxy.listen().await();
            }
            if (!bound.isSuccess()) {
                throw new BadInput("cannot listen on " + config.listen + ": " + bound.cause().getMessage());
            }
            return proxy;
        } catch (ExecutionException e) {
            throw new BadInput("cannot start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new BadInput("interrupted");
        }
    }

    /**
     * The listening socket that {@code LB_FD} names; null where it names none. Only standard input can be
     * taken over: the platform's way to a socket that it did not open itself.
     */
    private static ServerSocketChannel inherited(Map<String, String> env) {
        String descriptor = env.getOrDefault("LB_FD", "").strip();
        if (descriptor.isEmpty()) {
            return null;
        }
        if (!descriptor.equals("0")) {
            throw new BadInput("LB_FD is not 0, the only descriptor that can be taken over: "
                + Config.shown(descriptor));
        }
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel server) {
                return server;
            }
        } catch (IOException e) {
            throw new BadInput("descriptor 0, named by LB_FD, cannot be taken over: " + e.getMessage());
        }
        throw new BadInput("descriptor 0, named by LB_FD, is no listening socket");
    }

    private void console(Config config) {
        EventLoop own = loop();
        own.execute(() -> new Console(own, this, line -> loop.execute(() -> proxy.log(line)))
            .listen(config.console, listening -> { }));
    }

    /** What SIGHUP asks for: the file as it is now, or nothing of it. On any thread. */
    static void reload(Proxy proxy, EventLoop loop, Map<String, String> env) {
        try {
            Config now = Config.reload(env);
            loop.execute(() -> proxy.taken(now));
        } catch (BadInput e) {
            loop.execute(() -> proxy.turnedDown(e.getMessage()));
        }
    }

    /** Does what SIGTERM asks for and waits for its end, but not for long. */
    private void drain() {
        try {
            if (!proxy.end().await(DRAIN_MOST_MS)) {
                log.line("ending with requests open");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean takesClients() {
        return proxy.takesClients();
    }

    @Override
    public Figures figures() {
        return proxy.figures();
    }
}
