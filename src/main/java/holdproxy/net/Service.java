package holdproxy.net;

import holdproxy.console.Console;
import holdproxy.console.Figures;
import holdproxy.console.Operations;
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

/** The process around a proxy: what it inherits at its start, the signals that it heeds, and its console. */
public final class Service implements Operations {
    /**
     * The longest that it goes on after SIGTERM. Each request has its answer long before; what is left are
     * values that their clients take slowly, which the process must not be the one to break off.
     */
    private static final long DRAIN_MOST_MS = 15_000;

    /** How often it is looked up what another process was told. */
    private static final int LOOK_MS = 100;

    private static final int LOOK_ALONE_MS = 250;
    private static final int REFRESH_MS = 200;

    /** The folder for them in {@code TMPDIR}. */
    private static final String KEPT = "left-out";

    /** So long clients are left to another process until discovery has told this one of the nodes. */
    private static final int FIRST_LIST_MS = 2_000;

    /** Where lists are asked for, also no longer than this part of the time for which one holds. */
    private static final int HELD_PART = 2;

    /**
     * So long clients wait where no other process serves them. While discovery is down or overbooked there is
     * no list, and the longer a fleet that restarts together waits for it, the more goes unanswered.
     */
    private static final int FIRST_LIST_ALONE_MS = 500;

    private static final int BIND_TRIES = 30;
    private static final int BIND_WAIT_MS = 100;

    private final Proxy proxy;
    private final EventLoop loop;
    private final Log log;
    private final KeptOut kept;
    private final Consumer<String> lines;
    private EventLoop console;

    private Service(Proxy proxy, EventLoop loop, Log log, KeptOut kept, Consumer<String> lines) {
        this.proxy = proxy;
        this.loop = loop;
        this.log = log;
        this.kept = kept;
        this.lines = lines;
    }

    /** Runs a proxy until SIGTERM; at SIGHUP it reads its configuration again. */
    public static void serve(Map<String, String> env) {
        NettyLog.install(new Log(Time.system()));
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
     * Starts a proxy, which takes clients when this returns. {@code source} is read again at SIGHUP, or when
     * its file has changed where no SIGHUP reaches the process; {@code lines} takes the log's lines, on any
     * thread (null: standard error); {@code env} is looked up for {@code LB_FD} and {@code TMPDIR};
     * {@code end} is run at SIGTERM. Both signals are heeded before the first client can have an answer.
     */
    public static Service run(
            Config config,
            ConfigSource source,
            Map<String, String> env,
            Consumer<String> lines,
            Consumer<Service> end) {
        Log log = new Log(Time.system(), lines);
        ServerSocketChannel inherited = inherited(env);
        KeptOut kept = kept(config, env, log);
        Rehearsal.run(config, inherited == null ? Rehearsal.ROUNDS : Rehearsal.UNHURRIED_ROUNDS);
        Turns turns = new Turns();
        EventLoop loop = loop(turns);
        Proxy proxy = begun(config, loop, inherited, kept, lines);
        loop.execute(() -> proxy.counting.of(turns));
        Service service = new Service(proxy, loop, log, kept, lines);
        followChanges(source, () -> reload(config, proxy, loop, source), log);
        Thread ending = new Thread(() -> end.accept(service), "drain");
        Runtime.getRuntime().addShutdownHook(ending);
        try {
            listen(proxy, config, loop, inherited != null);
        } catch (BadInput e) {
            unhook(ending); // it has nothing to answer, and its exit code tells why
            throw e;
        }
        if (config.console != null) {
            service.console(config);
        } else {
            service.watchAlone();
        }
        return service;
    }

    /**
     * Has the configuration read again at SIGHUP, or by what the file itself shows where that
     * cannot come.
     */
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

    /** Says that all signals are heeded from here on: for who has seen to SIGTERM. */
    public void listening() {
        loop.execute(
                () -> {
                    if (proxy.takesClients()) {
                        proxy.log("listening on " + proxy.address());
                    }
                });
    }

    static EventLoop loop(Turns turns) {
        return new MultiThreadIoEventLoopGroup(1, turns).next();
    }

    private static void unhook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // told to end meanwhile: it does
        }
    }

    /** A proxy on this loop, once it listens: on the socket that was inherited, or on one of its own. */
    static Proxy start(
            Config config,
            EventLoop loop,
            ServerSocketChannel inherited,
            KeptOut kept,
            Consumer<String> lines) {
        Proxy proxy = begun(config, loop, inherited, kept, lines);
        listen(proxy, config, loop, inherited != null);
        return proxy;
    }

    /** One that follows the lists already, and takes no clients yet. */
    private static Proxy begun(
            Config config,
            EventLoop loop,
            ServerSocketChannel inherited,
            KeptOut kept,
            Consumer<String> lines) {
        Time time = Time.system();
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
                                // in the same turn: the first call goes by the list that is held
                                proxy.begin();
                                restore(proxy, kept);
                                return proxy;
                            })
                    .get();
        } catch (ExecutionException e) {
            throw new BadInput("cannot start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new BadInput("interrupted");
        }
    }

    /** Before anything is sent: what the process before this one was told holds here too. */
    private static void restore(Proxy proxy, KeptOut kept) throws IOException {
        if (kept != null) {
            kept.all((node, out, at) -> proxy.members().restore(node, out, proxy.monotonic(at)));
        }
    }

    static void listen(Proxy proxy, Config config, EventLoop loop, boolean inherited) {
        try {
            awaitFirstList(proxy, config, inherited);
            ChannelFuture bound = bound(proxy, loop);
            for (int i = 0;
                    i < BIND_TRIES && bound != null && bound.cause() instanceof BindException;
                    i++) {
                // after a restart the one before may hold the address a moment longer
                if (i == 0) {
                    loop.execute(
                            () -> proxy.log("waiting for " + config.listen + ", which is in use"));
                }
                Thread.sleep(BIND_WAIT_MS);
                bound = bound(proxy, loop);
            }
            if (bound != null && !bound.isSuccess()) {
                throw new BadInput(
                        "cannot listen on " + config.listen + ": " + bound.cause().getMessage());
            }
            loop.submit(() -> {}).get(); // the proxy itself has heard of it, and says so
        } catch (ExecutionException e) {
            throw new BadInput("cannot start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new BadInput("interrupted");
        }
    }

    /** Null: it was told to end meanwhile. */
    private static ChannelFuture bound(Proxy proxy, EventLoop loop)
            throws InterruptedException, ExecutionException {
        ChannelFuture bound = loop.submit(proxy::listen).get();
        return bound == null ? null : bound.await();
    }

    /**
     * Clients are taken once the first list has come, or after a bounded time: the list of the
     * configuration may be old, and what discovery has had for long counts for a new process as well. Where
     * discovery cannot be reached nothing can be told, and clients are taken at once.
     */
    private static void awaitFirstList(Proxy proxy, Config config, boolean inherited)
            throws InterruptedException {
        Members members = proxy.members();
        if (inherited) {
            members.first().await(FIRST_LIST_MS);
        } else if (config.settings.askForNodes) {
            long heldMs = config.settings.askWithinUs / 1000;
            members.firstOrUnreachable().await(Math.min(FIRST_LIST_ALONE_MS, heldMs / HELD_PART));
        } else {
            members.first().await(FIRST_LIST_ALONE_MS);
        }
    }

    /** Null where nobody calls: then nothing is looked up either. */
    private static KeptOut kept(Config config, Map<String, String> env, Log log) {
        if (config.console == null) {
            return null;
        }
        String folder = env.getOrDefault("TMPDIR", "");
        if (folder.isEmpty()) {
            log.line(
                    "TMPDIR is not set: nodes left out by operators are forgotten with this"
                            + " process");
        }
        try {
            return new KeptOut(folder.isEmpty() ? null : Path.of(folder, KEPT), Time.system());
        } catch (IOException e) {
            throw new BadInput("TMPDIR cannot be used: " + e);
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
            throw new BadInput(
                    "LB_FD is not 0, the only descriptor that can be taken over: "
                            + Config.shown(descriptor));
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

    private void console(Config config) {
        console = loop(new Turns());
        Time time = Time.system();
        Log own = new Log(time, lines);
        Watchdog watchdog = watchdog(time, own, LOOK_MS);
        console.scheduleAtFixedRate(
                () -> watchdog.look(time.us()), LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        console.execute(
                () -> {
                    new Console(console, this, line -> loop.execute(() -> proxy.log(line)))
                            .listen(
                                    config.console,
                                    listening ->
                                            say(
                                                    "the console listens on "
                                                            + listening.localAddress()));
                    console.scheduleAtFixedRate(
                            this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
                });
        loop.scheduleAtFixedRate(
                proxy.members()::refresh, REFRESH_MS, REFRESH_MS, TimeUnit.MILLISECONDS);
    }

    private Watchdog watchdog(Time time, Log own, int everyMs) {
        Watchdog watchdog = new Watchdog(loopThread(), time.us(), own::line);
        loop.scheduleAtFixedRate(
                () -> watchdog.beat(time.us()), everyMs, everyMs, TimeUnit.MILLISECONDS);
        return watchdog;
    }

    /** Where there is no console a thread of its own looks, less often: a core may be shared by many. */
    private void watchAlone() {
        Time time = Time.system();
        Watchdog watchdog = watchdog(time, new Log(time, lines), LOOK_ALONE_MS);
        Thread looking =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Thread.sleep(LOOK_ALONE_MS);
                                    watchdog.look(time.us());
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread()
                                        .interrupt(); // nobody does; the process ends with the
                                // others
                            }
                        },
                        "watchdog");
        looking.setDaemon(true);
        looking.start();
    }

    private Thread loopThread() {
        try {
            return loop.submit(Thread::currentThread).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new BadInput("interrupted");
        }
    }

    /** What the process before, or the other one in an upgrade, was told of nodes left out. */
    private void look() {
        try {
            kept.changes(
                    (node, out, atUnixMs) ->
                            loop.execute(
                                    () ->
                                            proxy.members()
                                                    .leaveOut(
                                                            node, out, proxy.monotonic(atUnixMs))));
        } catch (IOException e) {
            say("which nodes are left out cannot be read: " + e);
        }
    }

    private void say(String line) {
        loop.execute(() -> proxy.log(line));
    }

    /** The call holds once it is kept for the next process and the module has it; else nothing of it does. */
    @Override
    public void leaveOut(String node, boolean out, Consumer<String> answer) {
        loop.execute(
                () -> {
                    if (!proxy.members().knows(node, out)) {
                        answer.accept("no cache node is called " + Config.shown(node));
                        return;
                    }
                    console.execute(
                            () -> {
                                try {
                                    long atUnixMs = kept.keep(node, out);
                                    loop.execute(
                                            () -> {
                                                proxy.members()
                                                        .leaveOut(
                                                                node,
                                                                out,
                                                                proxy.monotonic(atUnixMs));
                                                answer.accept(null);
                                            });
                                } catch (IOException e) {
                                    say(
                                            "node "
                                                    + node
                                                    + " could not be kept as left out or used: "
                                                    + e);
                                    answer.accept(
                                            "cannot be kept: " + e.getClass().getSimpleName());
                                }
                            });
                });
    }

    /**
     * What SIGHUP asks for: the file as it is now, or nothing of it. On any thread, and each signal has one
     * of its own: one after the other, so that the last file is the last that is taken.
     */
    static void reload(Config inUse, Proxy proxy, EventLoop loop, ConfigSource source) {
        replace(() -> source.read().apply(inUse), proxy, loop);
    }

    private static String replace(Supplier<Config> checked, Proxy proxy, EventLoop loop) {
        synchronized (proxy) {
            try {
                Config now = checked.get();
                loop.execute(() -> proxy.taken(now));
                return null;
            } catch (BadInput e) {
                loop.execute(() -> proxy.turnedDown(e.getMessage()));
                return e.getMessage();
            }
        }
    }

    /**
     * Takes a configuration as SIGHUP does, whole or not at all: {@code checked} makes it, or throws a
     * {@link BadInput}, one call after the other and none beside a SIGHUP. Returns why it is turned down,
     * else null; on any thread.
     */
    public String take(Supplier<Config> checked) {
        return replace(checked, proxy, loop);
    }

    /** Does what SIGTERM asks for and waits for its end, but not for long. */
    public void drain() {
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
