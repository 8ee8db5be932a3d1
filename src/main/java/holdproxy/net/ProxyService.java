package holdproxy.net;

import holdproxy.console.Console;
import holdproxy.console.ConsoleOperations;
import holdproxy.console.Figures;
import holdproxy.input.BadInput;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The process around a proxy: inherited listening socket, signals, console and watchdog. */
public final class ProxyService implements ConsoleOperations {
    /**
     * The longest drain after SIGTERM. All requests are answered long before; what is left are values that
     * clients read slowly, which the process must not cut off.
     */
    private static final long MAX_DRAIN_MS = 15_000;

    /** How often the nodes left out through another process are read, and the loop is checked. */
    private static final int CHECK_MS = 100;

    /** How often the loop is checked where there is no console. */
    private static final int CHECK_WITHOUT_CONSOLE_MS = 250;

    private static final int REFRESH_MS = 200;

    /** The folder in {@code TMPDIR} for the record of nodes left out. */
    private static final String LEFT_OUT_FOLDER = "left-out";

    /** The longest wait for the first node list in an upgrade, while another process serves the clients. */
    private static final int FIRST_LIST_MS = 2_000;

    /** Where the router asks for lists, the wait is also at most 1/VALIDITY_DIVISOR of a list's validity. */
    private static final int VALIDITY_DIVISOR = 2;

    /**
     * The longest wait for the first node list where no other process serves the clients. While discovery
     * is down or overloaded no list comes, and the longer a fleet that restarts together waits for one, the
     * more requests go unanswered.
     */
    private static final int FIRST_LIST_ALONE_MS = 500;

    private static final int BIND_TRIES = 30;
    private static final int BIND_WAIT_MS = 100;

    private final Proxy proxy;
    private final EventLoop loop;
    private final Log log;
    private final LeftOutStore leftOut;
    private final Consumer<String> lines;
    private EventLoop consoleLoop;

    private ProxyService(
            Proxy proxy, EventLoop loop, Log log, LeftOutStore leftOut, Consumer<String> lines) {
        this.proxy = proxy;
        this.loop = loop;
        this.log = log;
        this.leftOut = leftOut;
        this.lines = lines;
    }

    /** Runs a proxy until SIGTERM; SIGHUP reloads its configuration. */
    public static void serve(Map<String, String> env) {
        NettyLog.install(new Log(Clock.system()));
        run(
                        Config.load(env),
                        ConfigSource.of(env),
                        env,
                        null,
                        service -> {
                            service.drain();
                            Runtime.getRuntime().halt(0);
                        })
                .listening();
    }

    /**
     * Starts a proxy and returns once it accepts clients. Both signals are handled before the first client
     * can get an answer.
     *
     * @param source read again at SIGHUP or, where SIGHUP is ignored, when its file has changed
     * @param env used for {@code LB_FD} and {@code TMPDIR}
     * @param lines receives the log lines, on any thread; null for standard error
     * @param end run at SIGTERM
     */
    public static ProxyService run(
            Config config,
            ConfigSource source,
            Map<String, String> env,
            Consumer<String> lines,
            Consumer<ProxyService> end) {
        Log log = new Log(Clock.system(), lines);
        ServerSocketChannel inherited = inherited(env);
        LeftOutStore leftOut = openLeftOut(config, env, log);
        WarmUp.run(config, inherited == null ? WarmUp.ROUNDS : WarmUp.UPGRADE_ROUNDS);
        LoopIoHandlerFactory handlerFactory = new LoopIoHandlerFactory();
        EventLoop loop = loop(handlerFactory);
        Proxy proxy = prepare(config, loop, inherited, leftOut, lines);
        loop.execute(() -> proxy.counterLog.setTurns(handlerFactory));
        ProxyService service = new ProxyService(proxy, loop, log, leftOut, lines);
        followChanges(source, () -> reload(config, proxy, loop, source), log);
        Thread drainHook = new Thread(() -> end.accept(service), "drain");
        Runtime.getRuntime().addShutdownHook(drainHook);
        try {
            listen(proxy, config, loop, inherited != null);
        } catch (BadInput e) {
            removeShutdownHook(
                    drainHook); // there is nothing to drain, and the exit code must show the error
            throw e;
        }
        if (config.console != null) {
            service.startConsole(config);
        } else {
            service.startWatchdogThread();
        }
        return service;
    }

    /** Reloads at SIGHUP or, where SIGHUP is ignored, when the file has changed. */
    private static void followChanges(ConfigSource source, Runnable reload, Log log) {
        HangupSignal.handle(reload)
                .ifPresent(
                        reason -> {
                            log.line(
                                    reason
                                            + "; instead "
                                            + source.file()
                                            + " is looked at every "
                                            + ConfigFileWatcher.INTERVAL_MS
                                            + " ms and read again when it has changed");
                            new ConfigFileWatcher(source.file(), reload).start();
                        });
    }

    /** Logs that the proxy listens and handles all signals; call it once SIGTERM is handled. */
    public void listening() {
        loop.execute(
                () -> {
                    if (proxy.takesClients()) {
                        proxy.log("listening on " + proxy.address());
                    }
                });
    }

    static EventLoop loop(LoopIoHandlerFactory handlerFactory) {
        return new MultiThreadIoEventLoopGroup(1, handlerFactory).next();
    }

    private static void removeShutdownHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the JVM is already shutting down
        }
    }

    /** Starts a proxy on this loop and returns once it listens, on the inherited socket or a new one. */
    static Proxy start(
            Config config,
            EventLoop loop,
            ServerSocketChannel inherited,
            LeftOutStore leftOut,
            Consumer<String> lines) {
        Proxy proxy = prepare(config, loop, inherited, leftOut, lines);
        listen(proxy, config, loop, inherited != null);
        return proxy;
    }

    /** A proxy that already follows the node lists but does not listen yet. */
    private static Proxy prepare(
            Config config,
            EventLoop loop,
            ServerSocketChannel inherited,
            LeftOutStore leftOut,
            Consumer<String> lines) {
        Clock time = Clock.system();
        try {
            return loop.submit(
                            () -> {
                                Proxy proxy =
                                        new Proxy(
                                                config,
                                                loop,
                                                time,
                                                new Sockets(loop, inherited),
                                                new Log(time, lines));
                                // in the same task: the first call to discovery uses the list held
                                proxy.begin();
                                restoreLeftOut(proxy, leftOut);
                                return proxy;
                            })
                    .get();
        } catch (ExecutionException e) {
            throw new BadInput("cannot start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new BadInput("interrupted");
        }
    }

    /** Applies the left-out nodes that the previous process recorded, before anything is sent. */
    private static void restoreLeftOut(Proxy proxy, LeftOutStore leftOut) throws IOException {
        if (leftOut != null) {
            leftOut.loadAll(
                    (node, out, at) -> proxy.members().restore(node, out, proxy.toRouterClock(at)));
        }
    }

    static void listen(Proxy proxy, Config config, EventLoop loop, boolean inherited) {
        try {
            awaitFirstList(proxy, config, inherited);
            ChannelFuture bound = bind(proxy, loop);
            for (int i = 0;
                    i < BIND_TRIES && bound != null && bound.cause() instanceof BindException;
                    i++) {
                // after a restart the previous process may still hold the address for a moment
                if (i == 0) {
                    loop.execute(
                            () -> proxy.log("waiting for " + config.listen + ", which is in use"));
                }
                Thread.sleep(BIND_WAIT_MS);
                bound = bind(proxy, loop);
            }
            if (bound != null && !bound.isSuccess()) {
                throw new BadInput(
                        "cannot listen on " + config.listen + ": " + bound.cause().getMessage());
            }
            loop.submit(() -> {}).get(); // lets the proxy's own listener of the bind run first
        } catch (ExecutionException e) {
            throw new BadInput("cannot start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new BadInput("interrupted");
        }
    }

    /** Null if the drain has begun meanwhile. */
    private static ChannelFuture bind(Proxy proxy, EventLoop loop)
            throws InterruptedException, ExecutionException {
        ChannelFuture bound = loop.submit(proxy::listen).get();
        return bound == null ? null : bound.await();
    }

    /**
     * Waits a bounded time for the first node list: the list of the configuration may be out of date, and a
     * new process has to honour what discovery has known for long. Where the router asks for lists and
     * discovery cannot be reached, it returns at once.
     */
    private static void awaitFirstList(Proxy proxy, Config config, boolean inherited)
            throws InterruptedException {
        NodeDirectory members = proxy.members();
        if (inherited) {
            members.firstList().await(FIRST_LIST_MS);
        } else if (config.settings.subscribesToNodes) {
            long validMs = config.settings.listFreshnessUs / 1000;
            members.firstListOrUnreachable()
                    .await(Math.min(FIRST_LIST_ALONE_MS, validMs / VALIDITY_DIVISOR));
        } else {
            members.firstList().await(FIRST_LIST_ALONE_MS);
        }
    }

    /** Null without a console, as then no node can be left out. */
    private static LeftOutStore openLeftOut(Config config, Map<String, String> env, Log log) {
        if (config.console == null) {
            return null;
        }
        String folder = env.getOrDefault("TMPDIR", "");
        if (folder.isEmpty()) {
            log.line(
                    "TMPDIR is not set: nodes left out by operators are forgotten when"
                            + " this process ends");
        }
        try {
            return new LeftOutStore(
                    folder.isEmpty() ? null : Path.of(folder, LEFT_OUT_FOLDER), Clock.system());
        } catch (IOException e) {
            throw new BadInput("TMPDIR cannot be used: " + e);
        }
    }

    /**
     * The listening socket that {@code LB_FD} names; null if it is not set. Only descriptor 0 works: the
     * JDK gives access to an inherited socket only as standard input.
     */
    private static ServerSocketChannel inherited(Map<String, String> env) {
        String descriptor = env.getOrDefault("LB_FD", "").strip();
        if (descriptor.isEmpty()) {
            return null;
        }
        if (!descriptor.equals("0")) {
            throw new BadInput(
                    "LB_FD is not 0, the only descriptor that can be taken over: "
                            + Config.printable(descriptor));
        }
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel server) {
                return server;
            }
        } catch (IOException e) {
            throw new BadInput(
                    "descriptor 0, named by LB_FD, cannot be taken over: " + e.getMessage());
        }
        throw new BadInput("descriptor 0, named by LB_FD, is no listening socket");
    }

    private void startConsole(Config config) {
        consoleLoop = loop(new LoopIoHandlerFactory());
        Clock time = Clock.system();
        Log watchdogLog = new Log(time, lines);
        Watchdog watchdog = createWatchdog(time, watchdogLog, CHECK_MS);
        consoleLoop.scheduleAtFixedRate(
                () -> watchdog.check(time.nowUs()), CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
        consoleLoop.execute(
                () -> {
                    new Console(consoleLoop, this, line -> loop.execute(() -> proxy.log(line)))
                            .listen(
                                    config.console,
                                    listening ->
                                            logOnLoop(
                                                    "the console listens on "
                                                            + listening.localAddress()));
                    consoleLoop.scheduleAtFixedRate(
                            this::applyRecordedChanges, CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
                });
        loop.scheduleAtFixedRate(
                proxy.members()::updateFigures, REFRESH_MS, REFRESH_MS, TimeUnit.MILLISECONDS);
    }

    private Watchdog createWatchdog(Clock time, Log log, int everyMs) {
        Watchdog watchdog = new Watchdog(loopThread(), time.nowUs(), log::line);
        loop.scheduleAtFixedRate(
                () -> watchdog.beat(time.nowUs()), everyMs, everyMs, TimeUnit.MILLISECONDS);
        return watchdog;
    }

    /**
     * Without a console, a separate thread checks the loop, less often as many processes may share a core.
     */
    private void startWatchdogThread() {
        Clock time = Clock.system();
        Watchdog watchdog = createWatchdog(time, new Log(time, lines), CHECK_WITHOUT_CONSOLE_MS);
        Thread watchdogThread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Thread.sleep(CHECK_WITHOUT_CONSOLE_MS);
                                    watchdog.check(time.nowUs());
                                }
                            } catch (InterruptedException e) {
                                // not expected: this daemon thread ends with the process
                                Thread.currentThread().interrupt();
                            }
                        },
                        "watchdog");
        watchdogThread.setDaemon(true);
        watchdogThread.start();
    }

    private Thread loopThread() {
        try {
            return loop.submit(Thread::currentThread).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new BadInput("interrupted");
        }
    }

    /** Applies changes of left-out nodes that another process recorded, as during an upgrade. */
    private void applyRecordedChanges() {
        try {
            leftOut.pollChanges(
                    (node, out, atUnixMs) ->
                            loop.execute(
                                    () ->
                                            proxy.members()
                                                    .leaveOut(
                                                            node,
                                                            out,
                                                            proxy.toRouterClock(atUnixMs))));
        } catch (IOException e) {
            logOnLoop("the record of nodes left out by operators cannot be read: " + e);
        }
    }

    private void logOnLoop(String line) {
        loop.execute(() -> proxy.log(line));
    }

    /**
     * The call succeeds once it is recorded for the next process and the router has it; otherwise it changes
     * nothing.
     */
    @Override
    public void setNodeExcluded(String node, boolean out, Consumer<String> answer) {
        loop.execute(
                () -> {
                    if (!proxy.members().acceptsLeaveOut(node, out)) {
                        answer.accept("no cache node is called " + Config.printable(node));
                        return;
                    }
                    consoleLoop.execute(
                            () -> {
                                try {
                                    long atUnixMs = leftOut.store(node, out);
                                    loop.execute(
                                            () -> {
                                                proxy.members()
                                                        .leaveOut(
                                                                node,
                                                                out,
                                                                proxy.toRouterClock(atUnixMs));
                                                answer.accept(null);
                                            });
                                } catch (IOException e) {
                                    logOnLoop(
                                            "node "
                                                    + node
                                                    + ": the operator's call was not recorded: "
                                                    + e);
                                    answer.accept(
                                            "cannot be kept: " + e.getClass().getSimpleName());
                                }
                            });
                });
    }

    /**
     * Reloads the configuration, whole or not at all. Each SIGHUP has its own thread: reloads run one after
     * the other, so that the latest file is applied last.
     */
    static void reload(Config inUse, Proxy proxy, EventLoop loop, ConfigSource source) {
        replace(() -> source.read().apply(inUse), proxy, loop);
    }

    private static String replace(Supplier<Config> checked, Proxy proxy, EventLoop loop) {
        synchronized (proxy) {
            try {
                Config now = checked.get();
                loop.execute(() -> proxy.applyConfig(now));
                return null;
            } catch (BadInput e) {
                loop.execute(() -> proxy.reloadRejected(e.getMessage()));
                return e.getMessage();
            }
        }
    }

    /**
     * Applies a configuration as SIGHUP does, whole or not at all. {@code checked} creates it or throws
     * {@link BadInput}; its calls never overlap with each other or with a reload at SIGHUP. Returns why it
     * was rejected, or null. Thread-safe.
     */
    public String applyConfig(Supplier<Config> checked) {
        return replace(checked, proxy, loop);
    }

    /** Drains as at SIGTERM and waits for the end, for a bounded time. */
    public void drain() {
        try {
            if (!proxy.drain().await(MAX_DRAIN_MS)) {
                log.line("the drain was not done in time; ending with connections open");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean acceptsClients() {
        return proxy.takesClients();
    }

    @Override
    public Figures figures() {
        return proxy.figures();
    }
}
