package holdproxy.daemon;

import holdproxy.consensus.FileDisk;
import holdproxy.consensus.RaftGroup;
import holdproxy.fanout.ChangeLog;
import holdproxy.fanout.FanoutSettings;
import holdproxy.input.BadInput;
import holdproxy.lease.LeaseClient;
import holdproxy.lease.LeaseTable;
import holdproxy.membership.MembershipService;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The consensus group and the leases in this process, on an event loop of their own: writes to the disk delay
 * neither requests nor membership.
 */
final class ConsensusPart {
    /** As the file has been called from its beginning: disks that stand go on being read. */
    private static final String DISK = "council";

    /** Who plans for zones; nobody acts under it yet. */
    private static final String PLANNER = "planner";

    private static final int PLANNER_LEASE_MS = 3_000;
    private static final byte OF_GROUP = 0;
    private static final byte FREE = 1;

    /** Both are well under the time that an end after SIGTERM has. */
    private static final long HAND_OVER_MS = 1_500;

    private static final long END_MS = 500;

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final long startNs = System.nanoTime();
    private final MembershipService membership;
    private final RaftGroup group;
    private final LeaseClient leases;
    private final ReplicatedState state;
    private final Map<String, LeaseListener> listeners = new HashMap<>();
    private final String name;

    private ConsensusPart(DaemonFile file, long generation, MembershipService membership) {
        this.membership = membership;
        name = file.name();
        LeaseTable table = new LeaseTable();
        state = new ReplicatedState(table, new ChangeLog(FanoutSettings.DEFAULTS.limits()));
        HostAdapter host = new HostAdapter();
        group = new RaftGroup(name, file.voters(), host, new Random(), state);
        leases = new LeaseClient(name, generation, group, table, host, new Random());
    }

    /** Takes up this process's vote, if it has one, and asks for the leases that the file names. */
    static ConsensusPart start(DaemonFile file, long generation, MembershipService membership) {
        ConsensusPart part = new ConsensusPart(file, generation, membership);
        membership.receive(
                MembershipService.CONSENSUS,
                frame -> part.loop.execute(() -> part.received(frame)));
        part.run(
                () -> {
                    part.group.begin(new FileDisk(disk(file)));
                    part.leases.want(PLANNER, PLANNER_LEASE_MS);
                    for (DaemonFile.Drill drill : file.drills()) {
                        part.leases.want(drill.role(), drill.leaseMs());
                        new LeaseExercise(drill, part.leases, part.loop).begin();
                    }
                });
        return part;
    }

    static Path disk(DaemonFile file) {
        return file.folder().resolve(DISK);
    }

    private void run(Runnable task) {
        try {
            loop.submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException("the consensus group cannot begin", e.getCause());
        }
    }

    /** On which all of it runs; what is called on its parts is called there. */
    EventLoop loop() {
        return loop;
    }

    /** What is agreed, as far as this process keeps it: all of it in a voter, nothing in others. */
    ReplicatedState state() {
        return state;
    }

    LeaseClient leases() {
        return leases;
    }

    /** As {@link RaftGroup#propose}. */
    CompletableFuture<Object> propose(Object operation, long withinUs) {
        return group.propose(operation, withinUs);
    }

    /** As {@link RaftGroup#leaderSilentUs}. */
    long leaderSilentUs() {
        return group.leaderSilentUs();
    }

    /**
     * From now on this process asks for a lease whenever it is free; {@code listener} hears of it. On any
     * thread.
     */
    void want(String role, int leaseMs, LeaseListener listener) {
        loop.execute(
                () -> {
                    listeners.put(role, listener);
                    leases.want(role, leaseMs);
                });
    }

    private void received(byte[] frame) {
        try {
            byte[] rest = new byte[Math.max(0, frame.length - 1)];
            System.arraycopy(frame, Math.min(1, frame.length), rest, 0, rest.length);
            if (frame.length > 0 && frame[0] == OF_GROUP) {
                group.received(rest);
            } else if (frame.length > 1 + Long.BYTES && frame[0] == FREE) {
                ByteBuffer told = ByteBuffer.wrap(rest);
                long token = told.getLong();
                leases.notifiedFree(StandardCharsets.UTF_8.decode(told).toString(), token);
            }
        } catch (BadInput e) {
            EventLog.line("a frame for the consensus group cannot be read: " + e.getMessage());
        }
    }

    /** Leadership, then what this process holds, goes to others, in time for them not to wait for it. */
    void end() {
        CompletableFuture<Void> handed = new CompletableFuture<>();
        loop.execute(
                () ->
                        group.stepDown()
                                .whenComplete(
                                        (led, why) ->
                                                leases.handOver()
                                                        .whenComplete(
                                                                (done, failed) ->
                                                                        handed.complete(null))));
        await(handed, HAND_OVER_MS, "the leases are not handed over in time");
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.execute(() -> group.end().whenComplete((done, failed) -> over.complete(null)));
        await(over, END_MS, "the consensus group's part does not end in time");
    }

    private static void await(CompletableFuture<Void> what, long ms, String late) {
        try {
            what.get(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            EventLog.line(late);
        }
    }

    /** What both are offered, and hear. */
    private final class HostAdapter implements RaftGroup.Host, LeaseClient.Host {
        @Override
        public long nowUs() {
            return (System.nanoTime() - startNs) / 1000;
        }

        @Override
        public void after(long us, Runnable task) {
            if (us <= 0) {
                loop.execute(task);
            } else {
                loop.schedule(task, us, TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void send(String to, byte[] frame) {
            membership.send(
                    to,
                    MembershipService.CONSENSUS,
                    ByteBuffer.allocate(1 + frame.length).put(OF_GROUP).put(frame).array());
        }

        @Override
        public void leads(boolean now) {
            EventLog.event(now ? "leads" : "leads no longer", "name", name);
        }

        @Override
        public void failed(RuntimeException failure) {
            EventLog.line("a task of the consensus group has failed: " + failure);
        }

        @Override
        public void out(String why) {
            EventLog.event("out of the vote", "name", name, "why", why);
        }

        @Override
        public void notifyFree(String to, String role, long token) {
            if (to.equals(name)) {
                loop.execute(() -> leases.notifiedFree(role, token));
                return;
            }
            byte[] text = role.getBytes(StandardCharsets.UTF_8);
            membership.send(
                    to,
                    MembershipService.CONSENSUS,
                    ByteBuffer.allocate(1 + Long.BYTES + text.length)
                            .put(FREE)
                            .putLong(token)
                            .put(text)
                            .array());
        }

        @Override
        public void granted(String role, long token) {
            EventLog.event("lease granted", "role", role, "token", token);
            LeaseListener listener = listeners.get(role);
            if (listener != null) {
                listener.granted(token);
            }
        }

        @Override
        public void ended(String role, long token, String why) {
            EventLog.event("lease ended", "role", role, "token", token, "why", why);
            LeaseListener listener = listeners.get(role);
            if (listener != null) {
                listener.ended();
            }
        }
    }

    /** For the command that founds a consensus group. */
    static List<String> found(DaemonFile file) {
        try (FileDisk disk = new FileDisk(disk(file))) {
            Files.createDirectories(file.folder());
            RaftGroup.found(disk, file.name(), file.voters());
            return file.voters();
        } catch (IOException e) {
            throw new BadInput("the consensus disk " + disk(file) + " cannot be written: " + e);
        }
    }
}
