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
 * This process's member of the consensus group and its leases. They run on their own event loop so that disk
 * writes delay neither requests nor membership.
 */
final class ConsensusPart {
    /** The file's original name, kept so that existing disks stay readable. */
    private static final String DISK_FILE = "council";

    /** Role of the planner for zones. Its lease is held, but nothing uses it yet. */
    private static final String PLANNER_ROLE = "planner";

    private static final int PLANNER_LEASE_MS = 3_000;

    // First byte of a frame: a message of the group, or the notice that a lease is free.
    private static final byte RAFT_FRAME = 0;
    private static final byte FREE = 1;

    // Both are well under the time allowed for the shutdown after SIGTERM.
    private static final long HAND_OVER_TIMEOUT_MS = 1_500;

    private static final long STOP_TIMEOUT_MS = 500;

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

    /** Starts this process's member, a voter if configured as one, and requests the configured leases. */
    static ConsensusPart start(DaemonFile file, long generation, MembershipService membership) {
        ConsensusPart part = new ConsensusPart(file, generation, membership);
        membership.receive(
                MembershipService.CONSENSUS_FRAME_KIND,
                frame -> part.loop.execute(() -> part.onFrame(frame)));
        part.runOnLoop(
                () -> {
                    part.group.start(new FileDisk(diskPath(file)));
                    part.leases.want(PLANNER_ROLE, PLANNER_LEASE_MS);
                    for (DaemonFile.Drill drill : file.drills()) {
                        part.leases.want(drill.role(), drill.leaseMs());
                        new LeaseExercise(drill, part.leases, part.loop).begin();
                    }
                });
        return part;
    }

    static Path diskPath(DaemonFile file) {
        return file.folder().resolve(DISK_FILE);
    }

    private void runOnLoop(Runnable task) {
        try {
            loop.submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException("cannot start the consensus group", e.getCause());
        }
    }

    /** The event loop that this part runs on; its components may be called only there. */
    EventLoop loop() {
        return loop;
    }

    /** The replicated state: complete in a voter, empty in other processes. */
    ReplicatedState state() {
        return state;
    }

    LeaseClient leases() {
        return leases;
    }

    /** See {@link RaftGroup#propose}. */
    CompletableFuture<Object> propose(Object operation, long withinUs) {
        return group.propose(operation, withinUs);
    }

    /** See {@link RaftGroup#leaderSilenceUs}. */
    long leaderSilentUs() {
        return group.leaderSilenceUs();
    }

    /**
     * Requests the lease on a role whenever it is free, from now on; {@code listener} is called when it is
     * granted or ends. May be called on any thread.
     */
    void requestLease(String role, int leaseMs, LeaseListener listener) {
        loop.execute(
                () -> {
                    listeners.put(role, listener);
                    leases.want(role, leaseMs);
                });
    }

    private void onFrame(byte[] frame) {
        try {
            byte[] payload = new byte[Math.max(0, frame.length - 1)];
            System.arraycopy(frame, Math.min(1, frame.length), payload, 0, payload.length);
            if (frame.length > 0 && frame[0] == RAFT_FRAME) {
                group.received(payload);
            } else if (frame.length > 1 + Long.BYTES && frame[0] == FREE) {
                ByteBuffer notice = ByteBuffer.wrap(payload);
                long token = notice.getLong();
                leases.roleFreed(StandardCharsets.UTF_8.decode(notice).toString(), token);
            }
        } catch (BadInput e) {
            EventLog.line("cannot decode a consensus frame: " + e.getMessage());
        }
    }

    /** Hands over leadership, then the held leases, so that others need not wait for them to expire. */
    void stop() {
        CompletableFuture<Void> handedOver = new CompletableFuture<>();
        loop.execute(
                () ->
                        group.stepDown()
                                .whenComplete(
                                        (led, why) ->
                                                leases.handOver()
                                                        .whenComplete(
                                                                (done, failed) ->
                                                                        handedOver.complete(
                                                                                null))));
        await(handedOver, HAND_OVER_TIMEOUT_MS, "timed out while handing over leases");
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(() -> group.stop().whenComplete((done, failed) -> stopped.complete(null)));
        await(stopped, STOP_TIMEOUT_MS, "timed out while stopping the consensus group member");
    }

    private static void await(
            CompletableFuture<Void> future, long timeoutMs, String timeoutMessage) {
        try {
            future.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            EventLog.line(timeoutMessage);
        }
    }

    /** Provides time, scheduling and transport to the group and the lease client, and logs their events. */
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
                    MembershipService.CONSENSUS_FRAME_KIND,
                    ByteBuffer.allocate(1 + frame.length).put(RAFT_FRAME).put(frame).array());
        }

        @Override
        public void leadershipChanged(boolean now) {
            EventLog.event(now ? "leads" : "leads no longer", "name", name);
        }

        @Override
        public void taskFailed(RuntimeException failure) {
            EventLog.line("a task of the consensus group failed: " + failure);
        }

        @Override
        public void stoppedVoting(String why) {
            EventLog.event("out of the vote", "name", name, "why", why);
        }

        @Override
        public void notifyRoleFree(String to, String role, long token) {
            if (to.equals(name)) {
                loop.execute(() -> leases.roleFreed(role, token));
                return;
            }
            byte[] text = role.getBytes(StandardCharsets.UTF_8);
            membership.send(
                    to,
                    MembershipService.CONSENSUS_FRAME_KIND,
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

    /** Initializes the disk of a first voter, for {@code holdproxy daemon found}; returns the voters. */
    static List<String> initializeDisk(DaemonFile file) {
        try (FileDisk disk = new FileDisk(diskPath(file))) {
            Files.createDirectories(file.folder());
            RaftGroup.found(disk, file.name(), file.voters());
            return file.voters();
        } catch (IOException e) {
            throw new BadInput("cannot write the consensus disk " + diskPath(file) + ": " + e);
        }
    }
}
