package holdproxy.policy;

/**
 * The routing decisions of one proxy in front of a fleet of cache nodes: events in, {@link Actions} out.
 *
 * <p>Units: all times and durations are in microseconds; event times are readings of one monotonic clock
 * of the caller's choosing and never decrease. Ordering: events are delivered one at a time, in order of
 * arrival; actions take effect in the order of the calls. Threading: none; a router is used by one thread
 * at a time. Event objects are only read during the call and may be reused by the caller.
 *
 * <p>Obligations of the caller: exactly one {@link #onOutcome} for each {@link Actions#send}; an {@link
 * #onTimer} at or after each requested time, never from within the call that requested it; an {@link
 * #onNodes} for each subscribe or fetch; {@link #onAborted} when the client disconnects. The first
 * successful outcome of a request is the client's answer; the caller delivers it and then reports it with
 * {@code concluded}.
 */
public interface Router {

    /** The effect of running a request twice. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The nodes among which repeats of a keyed request are discarded. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    enum NodeState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * What a node list event contains. FAILED: a call for a list has failed; SILENT: an established watch
     * has stopped sending and is closed.
     */
    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED,
        SILENT
    }

    /** How an attempt ended. {@link #neverRan}: the outcome proves that the node did no work on it. */
    enum Outcome {
        OK(false),
        ERROR(false),
        OVERLOADED(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true),
        MISS(true);

        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * What an outcome says about the cache: nothing, a hit, a miss, or a miss with a fetch already in
     * progress.
     */
    enum CacheNote {
        NONE,
        HIT,
        MISS,
        MISS_FETCHING
    }

    /**
     * What a node's weight stands for: nothing, its registered size, its approximate size, or its size
     * less its load.
     */
    enum Weights {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** The source of load reports: none, every answer, or the results of probes only. */
    enum ReportSource {
        NONE,
        ANSWERS,
        PROBES
    }

    /** A node's report on its load, delayed and noisy; NaN where a value is not reported. */
    final class Report {
        public double inFlight = Double.NaN;
        public double queue = Double.NaN;

        /** Share of its cores that are busy. */
        public double busy = Double.NaN;

        /** Recent service time, in microseconds. */
        public double latencyUs = Double.NaN;

        public double servedPerS = Double.NaN;
        public double errorsPerS = Double.NaN;

        /** Recent hit ratio, from 0 to 1. */
        public double hitShare = Double.NaN;

        /** Fetches from the origin in progress. */
        public double fetchesOut = Double.NaN;

        /** Marks all values as not reported. */
        public void clear() {
            inFlight = queue = busy = latencyUs = Double.NaN;
            servedPerS = errorsPerS = hitShare = fetchesOut = Double.NaN;
        }
    }

    final class RequestClass {
        public String name = "";
        public Effect effect = Effect.UNSAFE;
        public Group group = Group.ALL;

        /** Latency target: an answer within this time of the request's arrival earns its full worth. */
        public long targetUs;

        /** The latency target of a request grows by this multiple of its own work, up to the deadline. */
        public double targetStretch;

        public long deadlineUs;

        /**
         * Keyed classes: how long repeats are discarded, from the sending of the first attempt that may
         * have run.
         */
        public long repeatWindowUs;

        /** Share of the worth that an answer after the latency target still earns. */
        public double lateWorth;

        public double worth = 1;
        public boolean stream;
    }

    final class Tenant {
        public String name = "";

        /** Requests per second over all proxies that count as within its share; 0 if not stated. */
        public double quotaPerS;

        public double share;
    }

    /** The settings of a router, which are checked when it is created and when they are replaced. */
    final class Settings {
        public int index;
        public int routers = 1;
        public int zone;
        public RequestClass[] classes = new RequestClass[0];
        public Tenant[] tenants = new Tenant[0];

        /**
         * Cache-aside mode. True: a miss is reported and the router sends to the origin; false: nodes
         * fetch for themselves.
         */
        public boolean cacheAside;

        /** Cache-aside mode: the node kind that marks the origin; -1 if there is none. */
        public int originKind = -1;

        /** True: the node list comes only after a subscribe or fetch. */
        public boolean subscribesToNodes;

        public boolean mayCancel;
        public boolean mayProbe;
        public boolean secondCopies;
        public boolean retryAfter;
        public long maxRetryAfterUs;
        public int maxAttempts = 1;
        public int maxOpen = Integer.MAX_VALUE;
        public long tickUs;

        /** The proxy closes a connection that has been idle for this long. */
        public long idleCloseUs = 5_000_000;

        /** An attempt whose connection is not open after this long fails as CONNECT_FAILED; 0: not stated. */
        public long dialTimeoutUs;

        /** Concurrent attempts per connection. */
        public int streamsPerConnection = 1;

        public Weights weights = Weights.NOMINAL;
        public ReportSource reports = ReportSource.NONE;

        /** True: requests repeated by clients are marked. */
        public boolean clientsMarkRepeats;

        /** Whether {@link Actions#sendMessage} may be used. */
        public boolean mayMessageRouters;

        /** True: worth is counted per unit of work; false: per request. */
        public boolean worthPerWork;

        /** Worth of a request beyond its tenant's quota, as a share of its class's worth. */
        public double overQuotaWorth = 1;

        /** If sent this multiple of its capacity for {@link #originFallUs}, the origin stops; 0: never. */
        public double originFallMultiple;

        public long originFallUs;

        /** A final answer still counts until this long after the request is due. */
        public long answerGraceUs;

        /** CPU time in microseconds allowed per request with its outcomes, and per second; 0: not limited. */
        public double cpuUsPerRequest;

        public double cpuUsPerS;

        /**
         * Share of the overall score lost if all attempts crossed zones; the following prices likewise,
         * each at the unit stated.
         */
        public double crossZonePrice;

        /** Unit: all work of nodes wasted. */
        public double wastePrice;

        /** Unit: all worth not served within the latency target. */
        public double latePrice;

        /** Unit: 100 node list lines per request. */
        public double listPrice;

        /** Unit: 100 open connections per node. */
        public double connectionPrice;

        /** Unit: one probe per request. */
        public double probePrice;

        /** Unit: one message of 256 bytes per request. */
        public double messagePrice;

        /** Unit: one fetch from the origin per request. */
        public double originPrice;

        /** Weights of the score's parts: the whole run, its worst 10 s, the worst class, the worst tenant. */
        public double wholeWeight = 1;

        public double worstWindowWeight;
        public double worstClassWeight;
        public double worstTenantWeight;

        /**
         * Weight of the score's part for answers while few requests miss their latency target; 0 if there
         * is none.
         */
        public double slowEndWeight;

        /**
         * The share of requests that may miss the latency target without penalty; requests refused within
         * it do not count.
         */
        public double missAllowed = 1;

        /** Share of the score that a new connection for each request would cost; 0: no price. */
        public double handshakePrice;

        public long listFreshnessUs = 10_000_000;
        public double coldFrom = 1;
        public long coldUs;
        public long drainGraceUs;
        public double tipMultiple;
        public long fallUs;

        /**
         * Throws {@link IllegalArgumentException} naming the first setting that no router could work
         * with.
         */
        public void check() {
            reject(classes.length == 0, "classes is empty: at least one request class is needed");
            for (RequestClass c : classes) {
                reject(
                        c.targetUs <= 0,
                        "class '" + c.name + "' needs a latency target above 0, not " + c.targetUs);
            }
            reject(routers < 1, "routers must be at least 1, not " + routers);
            reject(maxAttempts < 1, "maxAttempts must be at least 1, not " + maxAttempts);
            reject(
                    cacheAside && originKind < 0,
                    "cache-aside mode needs originKind, the kind of the origin's entry");
            reject(
                    !(coldFrom > 0 && coldFrom <= 1),
                    "coldFrom must be above 0 and up to 1, not " + coldFrom);
        }

        private static void reject(boolean bad, String message) {
            if (bad) {
                throw new IllegalArgumentException(message);
            }
        }
    }

    final class Node {
        public int id;
        public int cell;
        public int zone;
        public int kind;

        /** Size relative to other nodes. */
        public double weight = 1;

        public NodeState state = NodeState.READY;

        /** Time of the latest start; {@link Long#MIN_VALUE}: long ago. */
        public long startedUs = Long.MIN_VALUE;
    }

    final class Request {
        /** Unique during the lifetime of the router, at least 0 and below 2^52. */
        public long id;

        public int requestClass;
        public int tenant;

        /** 0 if the request has no key. */
        public long key;

        /** When the client gives this request up; its final answer is due by then. */
        public long dueUs;

        /** Expected work in microseconds on a standard core; 0 if unknown. */
        public double workUs;

        /** Size of the value in bytes; 0 if unknown. */
        public double sizeBytes;

        public boolean repeat;
        public boolean write;
    }

    /** The actions that a router requests from its proxy. */
    interface Actions {
        /**
         * Starts the next attempt of a request; attempts are numbered from 0. {@code timeoutUs} 0: until
         * the request is due.
         */
        void send(long request, int node, long timeoutUs);

        /** Final answer: refused, and trying again is harmless. {@code retryAfterUs} 0: no advice. */
        void refuse(long request, long retryAfterUs);

        /** Final answer: failed, which promises nothing about side effects. */
        void fail(long request);

        void cancel(long request, int attempt);

        void timer(long delayUs, long label);

        void probe(int node);

        /** Closes the proxy's idle connections to a node; the next attempt there opens a new one. */
        void closeIdle(int node);

        /** Subscribes to changes of the node list; answered by one {@link Router#onNodes}. */
        void subscribe();

        /** Requests the full node list once; answered by one {@link Router#onNodes}. */
        void fetchNodes();

        /** Sends up to 256 bytes to another router of the tier by its index, or to all with {@link #ALL}. */
        void sendMessage(int router, byte[] data);

        int ALL = 0xffff;

        void log(String line);
    }

    /** A node list or change. The first event is the list as last known, possibly out of date. */
    void onNodes(long nowUs, ListKind kind, Node[] nodes, int count, Actions out);

    /**
     * Operators leave a node out or put it back into use; in between nothing is sent to it, whatever the
     * lists say. The node may not be known yet. Once back in use it counts as started at {@code atUs},
     * the time of the command.
     */
    void onLeftOut(long nowUs, int node, boolean out, long atUs);

    /**
     * Replaces the settings; open requests keep their class and their number of attempts. The mode, the
     * origin's kind and whether to ask for nodes do not change; a tenant keeps its index.
     */
    void onSettings(long nowUs, Settings settings);

    void onRequest(long nowUs, Request request, Actions out);

    /**
     * An attempt has ended. {@code concluded}: the client already has its answer, from this outcome or an
     * earlier one.
     */
    void onOutcome(
            long nowUs,
            long request,
            int attempt,
            Outcome outcome,
            long latencyUs,
            boolean concluded,
            CacheNote note,
            Report report,
            Actions out);

    /** The answer of a streamed request has begun; its attempt belongs to the client from now on. */
    void onStreaming(long nowUs, long request, int attempt, Actions out);

    /** The client has disconnected; no answer is owed any more. */
    void onAborted(long nowUs, long request, Actions out);

    void onTimer(long nowUs, long label, Actions out);

    /** The result of a {@link Actions#probe}. */
    void onProbe(long nowUs, int node, Outcome outcome, long latencyUs, Report report, Actions out);

    /** A message that another router sent with {@link Actions#sendMessage}; it may be late or lost. */
    void onMessage(long nowUs, int router, byte[] data, Actions out);
}
