package holdproxy.net;

import holdproxy.console.Figures;
import holdproxy.policy.Router;
import holdproxy.policy.RoutingPolicy;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Connects the router to the network: turns I/O into events of the router, and the router's actions into
 * I/O. Everything runs on one thread, the event loop: there are no locks, and nothing may block.
 */
public final class Proxy implements Router.Actions {
    /** Bound on the values of open write requests. */
    private static final long MAX_VALUE_BYTES = 16L << 20;

    /** Bound on what is held of values up to 64 KiB that clients send in parts. */
    private static final long MAX_PARTIAL_VALUE_BYTES = 8L << 20;

    /** Bound on the answers that clients have not read yet. */
    private static final long MAX_UNREAD_BYTES = 12L << 20;

    /** Additional room for clients that have read all earlier answers. */
    private static final long EXTRA_UNREAD_BYTES = 4L << 20;

    private static final int MAX_OPEN = 4096;

    /** Retry delay that is advised when a request is refused without asking the router. */
    private static final long DEFAULT_RETRY_AFTER_US = 500_000;

    /** Reserve for the network: the client's time-out runs from its sending to its receipt of the answer. */
    private static final long TRANSIT_US = 5_000;

    /** A request that the router has not answered by this time after its deadline is failed here. */
    private static final long OVERDUE_US = 15_000;

    /**
     * After SIGTERM, SIGKILL comes no sooner than the longest deadline of a class, at most
     * {@link #MAX_KILL_DEADLINE_MS}, plus this time.
     */
    private static final long KILL_AFTER_MS = 700;

    private static final long MAX_KILL_DEADLINE_MS = 3_000;

    /** Requests still open this long before the earliest SIGKILL are failed, as they would get no answer. */
    private static final long FAIL_BEFORE_KILL_MS = 150;

    /**
     * A time-out counts as the proxy's own fault if its loop was stalled for more than 1/STALL_DIVISOR of the
     * wait.
     */
    private static final int STALL_DIVISOR = 4;

    /** Iterations of the loop for which a request waits until it is known whether its client has left. */
    private static final int MAX_DEFERRALS = 10;

    /** How long a dropped class is still served, for requests that clients had already sent. */
    private static final int DROPPED_CLASS_MS = 5_000;

    private Router.Settings settings;

    /** The classes of the latest settings, without dropped ones that are still served. */
    private Router.RequestClass[] currentClasses;

    private final Clock time;
    private final Log log;
    private final EventLoop loop;
    final Transport transport;
    private final Command.Names names = new Command.Names();
    private final NodePools pools;
    private final Discovery discovery;
    final RoutingPolicy router;
    private final Figures figures = new Figures();
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Router.Request request = new Router.Request();
    private final Router.Report report = new Router.Report();
    private final NodeDirectory members;
    final EventQueue events;
    final ClientListener reception;
    private final LoopLag lateness;
    final CounterLog counterLog;
    private long nextId = 1;
    private final ByteBudget valueBytes = new ByteBudget(MAX_VALUE_BYTES);
    private final Command.InputBudgets inputBudgets =
            new Command.InputBudgets(new ByteBudget(MAX_PARTIAL_VALUE_BYTES), valueBytes);
    private long unreadBytes;
    private final InputScheduler inputScheduler;
    final ValueStreams relays = new ValueStreams(this);

    Proxy(Config config, EventLoop loop, Clock time, Transport transport, Log log) {
        this.loop = loop;
        this.time = time;
        this.log = log;
        this.transport = transport;
        lateness = new LoopLag(now());
        ConnectionLimits bound =
                ConnectionLimits.of(
                        config.sockets, transport != null && transport.sharesListener());
        inputScheduler = new InputScheduler(transport);
        events = new EventQueue(transport, log, this::now, lateness);
        reception = new ClientListener(this, config.listen, loop, transport, log, bound.clients());
        settings = config.settings;
        currentClasses = settings.classes;
        names.set(settings);
        for (Router.RequestClass c : settings.classes) {
            figures.forClass(c.name); // metrics exist before the first request
        }
        pools = new NodePools(this, config, loop, log, bound.nodes(), transport);
        discovery = new Discovery(new ListReceiver(), config, transport, log);
        members = new NodeDirectory(this, pools, discovery, log, loop);
        router = new RoutingPolicy(config.settings, config.seed, now(), this);
        counterLog = new CounterLog(router.counters, pools::countsSinceLastCall, lateness);
    }

    /**
     * Starts a proxy that listens. Must be called on {@code loop}, which runs the proxy. {@code log}
     * receives its log lines.
     */
    public static Proxy start(
            Config config, EventLoop loop, Clock time, Transport transport, Consumer<String> log) {
        Proxy proxy = new Proxy(config, loop, time, transport, new Log(time, log));
        proxy.begin();
        proxy.listen();
        return proxy;
    }

    /** The number of requests that are unanswered or still have an attempt in flight. */
    public int openRequests() {
        return exchanges.size();
    }

    /** Applies a reloaded configuration: its settings and discovery's address. */
    public void applyConfig(Config now) {
        discovery.reconfigure(now);
        Router.RequestClass[] classes = now.settings.classes;
        now.settings.tenants =
                SettingsReload.keepTenantIndexes(settings.tenants, now.settings.tenants);
        now.settings.classes = SettingsReload.withDropped(settings.classes, classes);
        applySettings(now.settings);
        figures.configApplied.add(1);
        log.line(
                "settings taken: "
                        + classes.length
                        + " classes, "
                        + (settings.classes.length - classes.length)
                        + " dropped, attempts "
                        + settings.maxAttempts);
        currentClasses = classes;
        loop.schedule(
                () -> {
                    if (currentClasses == classes) {
                        dropOldClasses();
                    }
                },
                DROPPED_CLASS_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Stops serving the classes that the latest settings dropped. */
    void dropOldClasses() {
        settings.classes = currentClasses;
        applySettings(settings);
    }

    private void applySettings(Router.Settings next) {
        settings = next;
        names.set(next);
        for (Router.RequestClass c : next.classes) {
            figures.forClass(c.name);
        }
        pools.applySettings(next);
        events.add(() -> router.onSettings(now(), next));
    }

    /** Records that a reload was rejected; the configuration in use stays. */
    void reloadRejected(String why) {
        log.line("the old configuration is kept: " + why);
        figures.configRejected.add(1);
    }

    void begin() {
        scheduleTick();
        counterLog.start(loop, this);
        discovery.reportConfiguredList();
        if (!settings.subscribesToNodes) {
            discovery.ensureWatch();
        }
    }

    ChannelFuture listen() {
        return reception.listen();
    }

    boolean isListening() {
        return reception.acceptsConnections();
    }

    InetSocketAddress address() {
        return reception.address();
    }

    /** Whether clients are accepted: from listening until the drain begins. Thread-safe. */
    boolean takesClients() {
        return reception.takesClients();
    }

    /** Drains as at SIGTERM; the future completes when every connection has ended. */
    public Future<Void> drain() {
        return reception.shutDown();
    }

    Future<Void> drain(long openMs) {
        return reception.shutDown(openMs);
    }

    /** The channel handlers of a client connection. */
    ChannelHandler[] handlers() {
        CommandDecoder decoder =
                new CommandDecoder(names, inputBudgets, inputScheduler, this::lastReadUs);
        return new ChannelHandler[] {
            new FlushConsolidationHandler(), decoder, new ClientSession(this, decoder)
        };
    }

    private void scheduleTick() {
        loop.schedule(
                () -> {
                    tick();
                    scheduleTick();
                },
                LoopLag.TICK_US,
                TimeUnit.MICROSECONDS);
    }

    void tick() {
        lateness.ticked(now());
    }

    /** The router's clock: monotonic microseconds. */
    long now() {
        return time.nowUs();
    }

    /** When at the latest all sockets were read, in time of {@link #now}. */
    private long lastReadUs() {
        long now = now();
        return now - lateness.sinceLastDueUs(now);
    }

    /** Converts a Unix time to the router's clock; a node's start time always gives the same value. */
    long toRouterClock(long unixMs) {
        return time.monotonicUs(unixMs);
    }

    Future<?> every(int ms, Runnable task) {
        return loop.scheduleAtFixedRate(task, ms, ms, TimeUnit.MILLISECONDS);
    }

    // ---- requests ----

    Exchange request(ClientSession session, ClientSession.Slot slot, Command c) {
        Integer type = names.classes().get(c.requestClass);
        if (type == null) {
            session.answer(slot, "CLIENT_ERROR c is not known here any longer");
            return null;
        }
        long now = now();
        if (exchanges.size() >= Math.min(MAX_OPEN, settings.maxOpen)
                || !valueBytes.reserve(c.valueBytes())) {
            session.answer(slot, shedAnswer(c));
            return null;
        }
        long classUs = settings.classes[type].deadlineUs;
        long waitUs = c.waitMs == Command.NOT_STATED ? classUs : c.waitMs * 1000L;
        // a client's stated wait cannot exceed the deadline of the class
        waitUs = classUs > 0 ? Math.min(waitUs, classUs) : waitUs;
        long dueUs = now + Math.max(waitUs / 2, waitUs - TRANSIT_US) - lateness.recentUs(now);
        Exchange x =
                new Exchange(
                        nextId++,
                        c,
                        session,
                        slot,
                        dueUs,
                        settings.maxAttempts,
                        settings.classes[type]);
        exchanges.put(x.id, x);
        figures.active.add(1);
        x.overdueTimer =
                loop.schedule(
                        () -> overdue(x),
                        Math.max(0, dueUs - now) + OVERDUE_US,
                        TimeUnit.MICROSECONDS);
        events.add(() -> route(x, type, MAX_DEFERRALS));
        return x;
    }

    /**
     * Has the router decide on a request, once it is known whether its client has left. A client that sends
     * without a pause is refused.
     */
    private void route(Exchange x, int type, int deferralsLeft) {
        if (x.answered) {
            return; // its client has disconnected in the same iteration of the loop
        }
        if (mayHaveLeft(x.session)) {
            if (deferralsLeft > 0) {
                transport.afterReads(
                        () -> events.add(() -> route(x, type, deferralsLeft - 1)), true);
            } else {
                markAnswered(x);
                x.session.answer(x.slot, shedAnswer(x.command));
                removeIfFinished(x);
            }
            return;
        }
        x.command.fill(request);
        request.requestClass = type;
        request.id = x.id;
        request.dueUs = x.dueUs;
        router.onRequest(now(), request, this);
    }

    /** Whether the client may have left longer ago than attempts for it may still begin. */
    boolean mayHaveLeft(ClientSession session) {
        return session.inputDelayUs(now()) > EventQueue.MAX_INPUT_AGE_US;
    }

    private void overdue(Exchange x) {
        failOverdue(x, "the router gave no answer by the deadline of a request; failing it");
    }

    private void failOverdue(Exchange x, String why) {
        if (!x.answered) {
            log.line(why);
            answerFailed(x);
            report(x, () -> router.onAborted(now(), x.id, this));
        }
    }

    void clientDisconnected(Exchange x) {
        if (!x.answered) {
            markAnswered(x);
            report(x, () -> router.onAborted(now(), x.id, this));
        }
    }

    /**
     * Queues an event about a request for the router. The request is kept until then: an event that was
     * queued before may still start an attempt, which needs an outcome like any other.
     */
    private void report(Exchange x, Runnable event) {
        x.queuedEvents++;
        events.add(
                () -> {
                    x.queuedEvents--;
                    try {
                        event.run();
                    } finally {
                        removeIfFinished(x);
                    }
                });
    }

    private void markAnswered(Exchange x) {
        x.answered = true;
        figures.active.add(-1);
        x.overdueTimer.cancel(false);
    }

    private void removeIfFinished(Exchange x) {
        if (x.answered
                && x.openAttempts == 0
                && x.queuedEvents == 0
                && exchanges.remove(x.id) != null) {
            valueBytes.release(x.command.valueBytes());
        }
    }

    Figures.Outcomes outcomes(Command c) {
        return figures.forClass(c.requestClass);
    }

    /** Counts a request that is refused for lack of room without asking the router; returns the answer. */
    String shedAnswer(Command c) {
        outcomes(c).shed.add(1);
        log.line("too much is open: refusing");
        return busyAnswer(
                settings.retryAfter
                        ? Math.min(DEFAULT_RETRY_AFTER_US, settings.maxRetryAfterUs)
                        : 0);
    }

    /** Adds to the bytes of answers that clients have not read yet. */
    void addUnreadBytes(int change) {
        unreadBytes += change;
    }

    /**
     * Whether so many more bytes may be held; clients that have read all earlier answers have reserved
     * room.
     */
    boolean hasUnreadRoom(int bytes, boolean readAll) {
        return unreadBytes + bytes <= MAX_UNREAD_BYTES + (readAll ? EXTRA_UNREAD_BYTES : 0);
    }

    private String busyAnswer(long retryAfterUs) {
        return retryAfterUs > 0
                ? "SERVER_ERROR busy " + Math.max(1, retryAfterUs / 1000)
                : "SERVER_ERROR busy";
    }

    private void answerFailed(Exchange x) {
        markAnswered(x);
        outcomes(x.command).errors.add(1);
        x.session.answer(x.slot, "SERVER_ERROR failed");
    }

    /** Ends an attempt: the first success answers the client, and the outcome is reported to the router. */
    void attemptEnded(Attempt a, Router.Outcome outcome, NodeResponse answer) {
        Exchange x = a.exchange;
        a.done = true;
        a.neverRan = outcome.neverRan;
        a.timer.cancel(false);
        x.openAttempts--;
        if (outcome == Router.Outcome.OK && !x.answered) {
            markAnswered(x);
            boolean written = x.session.answer(x.slot, answer.encode(ByteBufAllocator.DEFAULT));
            Figures.Outcomes outcomes = outcomes(x.command);
            (written ? outcomes.ok : outcomes.errors).add(1);
        }
        if (answer != null) {
            answer.discardValue();
        }
        long latencyUs = a.firstBytesUs >= 0 ? a.firstBytesUs : latencyUs(a, now());
        report(
                x,
                () -> {
                    if (answer != null) {
                        answer.report(report);
                    } else {
                        report.clear();
                    }
                    router.onOutcome(
                            now(),
                            x.id,
                            a.number,
                            outcome,
                            latencyUs,
                            x.answered,
                            answer == null ? Router.CacheNote.NONE : answer.note,
                            report,
                            this);
                });
    }

    /** The latency of an attempt without stalls of the loop, which say nothing about the node. */
    long latencyUs(Attempt a, long now) {
        return Math.max(0, now - a.sentUs - stalledUs(a, now));
    }

    /** How long the loop was stalled just before now: input read now may have waited so long. */
    long recentStallUs(long now) {
        return lateness.recentUs(now);
    }

    /** How long the loop has been stalled since an attempt was sent. */
    private long stalledUs(Attempt a, long now) {
        return lateness.totalUs(now) - a.stalledUsAtSend;
    }

    /**
     * Ends an attempt at its time-out. If the loop was stalled for a large part of the wait, the delay was
     * this proxy's and not the node's: the router gets a cancelled or unsent attempt, from which it learns
     * nothing.
     */
    private void timedOut(Attempt a) {
        if (!a.done) {
            boolean ownFault = stalledUs(a, now()) > a.waitUs / STALL_DIVISOR;
            // a command that was not written whole cannot run on the node: the router may refuse
            // the request or send it elsewhere
            boolean neverRan = !a.connection.giveUp(a);
            attemptEnded(
                    a,
                    neverRan
                            ? ownFault ? Router.Outcome.NOT_SENT : Router.Outcome.CONNECT_FAILED
                            : ownFault ? Router.Outcome.CANCELLED : Router.Outcome.TIMEOUT,
                    null);
        }
    }

    /**
     * When, after SIGTERM, to fail open requests. Counts the classes of the latest file, as whoever sends
     * SIGKILL does; a class without a deadline counts with the maximum.
     */
    long failOpenRequestsAfterMs() {
        long longest = 0;
        for (Router.RequestClass c : currentClasses) {
            long ms = c.deadlineUs > 0 ? c.deadlineUs / 1000 : MAX_KILL_DEADLINE_MS;
            longest = Math.max(longest, Math.min(ms, MAX_KILL_DEADLINE_MS));
        }
        return longest + KILL_AFTER_MS - FAIL_BEFORE_KILL_MS;
    }

    void failOpenRequests() {
        for (Exchange x : List.copyOf(exchanges.values())) {
            failOverdue(x, "a request is still open before the process is killed; failing it");
        }
    }

    // ---- the node list ----

    void nodes(Router.ListKind kind, List<Discovery.Entry> entries) {
        members.onList(kind, entries);
    }

    private final class ListReceiver implements Discovery.Receiver {
        @Override
        public long now() {
            return Proxy.this.now();
        }

        @Override
        public long toMonotonicUs(long unixMs) {
            return Proxy.this.toRouterClock(unixMs);
        }

        @Override
        public void onList(Router.ListKind kind, List<Discovery.Entry> entries) {
            Proxy.this.nodes(kind, entries);
        }

        @Override
        public void onUnreachable() {
            members.onDiscoveryUnreachable();
        }
    }

    /** An operator's call to leave out a node or to use it again, in force from now on. */
    public void leaveOut(String node, boolean out) {
        members.leaveOut(node, out, now());
    }

    NodeDirectory members() {
        return members;
    }

    // ---- actions of the router ----

    @Override
    public void send(long id, int node, long timeoutUs) {
        Exchange x = exchanges.get(id);
        NodePool pool = pools.get(node);
        if (x == null) {
            throw new IllegalStateException("attempt for an unknown request");
        }
        long now = now();
        long left = x.dueUs - now;
        long wait = timeoutUs != 0 ? Math.min(timeoutUs, left) : left;
        Attempt a = new Attempt(x, x.attempts.size(), now, lateness.totalUs(now), wait);
        x.add(a);
        x.openAttempts++;
        a.timer = loop.schedule(() -> timedOut(a), Math.max(0, wait), TimeUnit.MICROSECONDS);
        if (x.answered
                || wait <= 0
                || pool == null
                || a.number >= x.maxAttempts
                || mayHaveLeft(x.session)) {
            attemptEnded(a, Router.Outcome.NOT_SENT, null);
        } else {
            pool.send(a);
        }
    }

    @Override
    public void refuse(long id, long retryAfterUs) {
        Exchange x = exchanges.get(id);
        if (x != null && !x.answered) {
            markAnswered(x);
            outcomes(x.command).shed.add(1);
            x.session.answer(x.slot, busyAnswer(retryAfterUs));
            removeIfFinished(x);
        }
    }

    @Override
    public void fail(long id) {
        Exchange x = exchanges.get(id);
        if (x != null && !x.answered) {
            answerFailed(x);
            removeIfFinished(x);
        }
    }

    @Override
    public void cancel(long id, int attempt) {
        Exchange x = exchanges.get(id);
        if (x != null && attempt < x.attempts.size()) {
            Attempt a = x.attempts.get(attempt);
            if (!a.done) {
                a.connection.giveUp(a);
                attemptEnded(a, Router.Outcome.CANCELLED, null);
            }
        }
    }

    @Override
    public void timer(long delayUs, long label) {
        loop.schedule(
                () -> events.add(() -> router.onTimer(now(), label, this)),
                Math.max(0, delayUs),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(int node) {
        // probes are not supported: any probe ends as not sent
        events.add(
                () -> {
                    report.clear();
                    router.onProbe(now(), node, Router.Outcome.NOT_SENT, 0, report, this);
                });
    }

    @Override
    public void closeIdle(int node) {
        NodePool pool = pools.get(node);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public void subscribe() {
        discovery.ensureWatch();
    }

    @Override
    public void fetchNodes() {
        discovery.fetchFullList();
    }

    @Override
    public void sendMessage(int router, byte[] data) {
        log.line("messages to other proxies are not supported; message dropped");
    }

    @Override
    public void log(String line) {
        log.line(line);
    }

    // ---- metrics ----

    public Figures figures() {
        return figures;
    }
}
