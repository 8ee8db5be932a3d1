package holdproxy.scale;

import holdproxy.policy.Router;
import holdproxy.policy.RoutingPolicy;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;

/** Measures the decision module by the number of nodes: CPU time of a request, of a list, and heap. */
final class DecisionByNodes implements Measurement {
    private static final String MECHANISM = "decision module, two hashed candidates a key";
    private static final int WARM_UP = 200_000;
    private static final int REQUESTS = 300_000;
    private static final int KEYS = 1_000_000;
    private static final double REQUESTS_PER_S = TargetFleet.REQUESTS_PER_S / TargetFleet.PROXIES;
    private static final long RESPONSE_US = 5_000;
    private static final long MS = 1_000;
    private static final int HELD = 20;

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) {
        Series requestCpu = findings.add(series("one request decided", "us of CPU"));
        Series listCpu = findings.add(series("one whole list taken", "us of CPU"));
        Series heap = findings.add(series("nodes held by the module", "kB"));
        for (int size : spec.sizes()) {
            context.logProgress("%s: %d nodes", spec.kind().configName, size);
            Workload load = new Workload(size);
            load.runRequests(WARM_UP);
            long startNs = CpuClock.ns();
            load.runRequests(REQUESTS);
            requestCpu.add(size, (CpuClock.ns() - startNs) / 1e3 / REQUESTS);
            startNs = CpuClock.ns();
            for (int i = 0; i < HELD; i++) {
                load.sendList();
            }
            listCpu.add(size, (CpuClock.ns() - startNs) / 1e3 / HELD);
            heap.add(size, heapKb(size));
        }
    }

    private static Series series(String quantity, String unit) {
        return Series.of(
                "proxy", quantity, unit, "nodes", MECHANISM, TargetFleet.NODES, Double.NaN);
    }

    private static double heapKb(int size) {
        long before = Heap.usedBytes();
        Workload[] loads = new Workload[HELD];
        for (int i = 0; i < HELD; i++) {
            loads[i] = new Workload(size);
        }
        double held = (Heap.usedBytes() - before) / 1024.0 / HELD;
        return loads[HELD - 1] == null ? 0 : held;
    }

    private static Router.Settings settings() {
        Router.RequestClass read = new Router.RequestClass();
        read.effect = Router.Effect.SAFE;
        read.targetUs = 500 * MS;
        read.deadlineUs = 1_500 * MS;
        Router.Settings settings = new Router.Settings();
        settings.classes = new Router.RequestClass[] {read};
        settings.tenants = new Router.Tenant[] {new Router.Tenant()};
        settings.maxAttempts = 3;
        settings.secondCopies = true;
        settings.mayCancel = true;
        settings.tickUs = 5 * MS;
        settings.coldFrom = 0.2;
        settings.coldUs = 20_000 * MS;
        return settings;
    }

    private record Timer(long atUs, long label) {}

    private record Answer(long atUs, long request) {}

    /** Requests at the rate of one proxy of the target fleet, each answered after 5 ms of simulated time. */
    private static final class Workload implements Router.Actions {
        private final SplittableRandom random = new SplittableRandom(1);
        private final RoutingPolicy module;
        private final Router.Node[] nodes;
        private final Router.Request request = new Router.Request();
        private final Router.Report report = new Router.Report();
        private final Queue<Answer> answers = new ArrayDeque<>();
        private final PriorityQueue<Timer> timers =
                new PriorityQueue<>(Comparator.comparingLong(Timer::atUs));
        private long nowUs;
        private long id;

        Workload(int size) {
            nodes = new Router.Node[size];
            for (int i = 0; i < size; i++) {
                nodes[i] = new Router.Node();
                nodes[i].id = random.nextInt();
            }
            module = new RoutingPolicy(settings(), 1, 0, this);
            sendList();
        }

        void sendList() {
            module.onNodes(nowUs, Router.ListKind.FULL, nodes, nodes.length, this);
        }

        void runRequests(int count) {
            for (int i = 0; i < count; i++) {
                nowUs += (long) (1e6 / REQUESTS_PER_S);
                runDueEvents();
                request.id = ++id;
                request.key = 1 + random.nextInt(KEYS);
                request.dueUs = nowUs + 1_000 * MS;
                module.onRequest(nowUs, request, this);
            }
        }

        private void runDueEvents() {
            while (!timers.isEmpty() && timers.peek().atUs <= nowUs) {
                module.onTimer(nowUs, timers.poll().label, this);
            }
            while (!answers.isEmpty() && answers.peek().atUs <= nowUs) {
                Answer answer = answers.poll();
                module.onOutcome(
                        nowUs,
                        answer.request,
                        0,
                        Router.Outcome.OK,
                        RESPONSE_US,
                        true,
                        Router.CacheNote.HIT,
                        report,
                        this);
            }
        }

        @Override
        public void send(long to, int node, long timeoutUs) {
            answers.add(new Answer(nowUs + RESPONSE_US, to));
        }

        @Override
        public void timer(long delayUs, long label) {
            timers.add(new Timer(nowUs + delayUs, label));
        }

        @Override
        public void refuse(long refused, long retryAfterUs) {
            // no client waits for it
        }

        @Override
        public void fail(long failed) {
            // no client waits for it
        }

        @Override
        public void cancel(long cancelled, int attempt) {
            // the answer arrives all the same
        }

        @Override
        public void probe(int node) {
            // probes are not simulated
        }

        @Override
        public void closeIdle(int node) {
            // connections are not simulated
        }

        @Override
        public void subscribe() {
            // the list is passed in directly
        }

        @Override
        public void fetchNodes() {
            // the list is passed in directly
        }

        @Override
        public void sendMessage(int router, byte[] data) {
            // there is no other proxy
        }

        @Override
        public void log(String line) {
            // discarded
        }
    }
}
