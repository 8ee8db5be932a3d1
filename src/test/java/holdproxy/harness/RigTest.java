package holdproxy.harness;

import static holdproxy.Awaiting.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.Event;
import holdproxy.emulator.Load;
import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Faults in real processes of this program, the checks of the history, and the end of a killed rig. */
class RigTest {
    private static final long TIMEOUT_S = 120;

    /** Longer than any test, so that no process ends because its schedule is over. */
    private static final double LONG_S = 600;

    @TempDir Path folder;

    private static Schedule schedule(double seconds, int proxies, RigFault... faults) {
        return new Schedule(
                "test",
                1,
                seconds,
                false,
                Schedule.Fleet.NONE,
                proxies,
                4,
                Load.DEFAULT,
                List.of(faults),
                List.of());
    }

    private static RigFault process(RigFault.Kind kind, double atS, double forS, int target) {
        return RigFault.process(kind, atS, forS, 0.5, target);
    }

    private ScheduleRun.Outcome play(Schedule schedule, Function<String[], List<String>> program)
            throws Exception {
        try (ChildReaper reaper = ChildReaper.start(RigCommand.ownCommand("rig", "keep"));
                ScheduleRun run = new ScheduleRun(schedule, folder, reaper, program)) {
            return run.play();
        }
    }

    private String history() throws IOException {
        return Files.readString(folder.resolve("history.txt"));
    }

    @Test
    void proxiesThatAreKilledStoppedAndRestartedWhileLinksFailKeepTheRules() throws Exception {
        ScheduleRun.Outcome outcome =
                play(
                        schedule(
                                6,
                                3,
                                process(RigFault.Kind.KILL, 1, 1, 0),
                                process(RigFault.Kind.HOLD, 2, 1.5, 1),
                                process(RigFault.Kind.RESTART, 3.5, 0.2, 2),
                                process(RigFault.Kind.CRASH, 2, 2, 0),
                                RigFault.links(
                                        RigFault.Kind.LINK,
                                        2.5,
                                        2,
                                        "proxy-2",
                                        "s-*",
                                        LinkState.CUT,
                                        LinkState.HEALTHY),
                                RigFault.links(
                                        RigFault.Kind.LINK,
                                        1,
                                        3,
                                        "proxy-1",
                                        "s-1",
                                        LinkState.HEALTHY,
                                        LinkState.resetAfter(40)),
                                RigFault.links(
                                        RigFault.Kind.REFUSE,
                                        3,
                                        1,
                                        "proxy-*",
                                        "s-2",
                                        LinkState.HEALTHY,
                                        LinkState.HEALTHY),
                                RigFault.links(
                                        RigFault.Kind.RESET,
                                        4,
                                        0,
                                        "clients",
                                        "proxy-1",
                                        LinkState.HEALTHY,
                                        LinkState.HEALTHY)),
                        RigCommand::ownCommand);
        assertEquals(List.of(), outcome.broken());
        assertTrue(
                outcome.service().operationsServed() > 50, outcome.service().figures().toString());
        String history = history();
        for (String happened :
                List.of(
                        "proxy-0  killed",
                        "proxy-1  held 1500000",
                        "proxy-2  told to end",
                        "proxy-2  ended",
                        "s-0  crash",
                        "proxy-2>s-*  link",
                        "proxy-*>s-2  refuse",
                        "clients>proxy-1  reset")) {
            assertTrue(history.contains("FAULT " + happened), happened + " is not in the history");
        }
        assertEquals(
                2,
                history.lines().filter(l -> l.contains("FAULT proxy-0  started")).count(),
                "the killed process is started a second time");
    }

    @Test
    void daemonsKeepTheRulesAndLogTheirEvents() throws Exception {
        Schedule schedule =
                new Schedule(
                        "test",
                        1,
                        14,
                        true,
                        new Schedule.Fleet(3, 2, 1_000, false),
                        3,
                        4,
                        Load.DEFAULT,
                        List.of(
                                process(RigFault.Kind.KILL, 1, 12, 0),
                                process(RigFault.Kind.RESTART, 2, 0.2, 1)),
                        List.of(
                                new ExpectedEvent(
                                        false,
                                        "proxy-2",
                                        "member member=proxy-1 state=LEFT before=",
                                        0,
                                        TIMEOUT_S),
                                new ExpectedEvent(
                                        false,
                                        "proxy-2",
                                        "member member=proxy-0 state=DEAD before=SUSPECT",
                                        0,
                                        TIMEOUT_S),
                                new ExpectedEvent(
                                        false,
                                        "proxy-2",
                                        "member member=proxy-0 state=ALIVE before=DEAD",
                                        0,
                                        TIMEOUT_S),
                                new ExpectedEvent(
                                        false, "proxy-*", "member member=proxy-", 0, TIMEOUT_S),
                                new ExpectedEvent(
                                        true, "*", "lease granted role=drill-0", 0, TIMEOUT_S),
                                new ExpectedEvent(
                                        true, "*", "lease granted role=drill-1", 0, TIMEOUT_S),
                                new ExpectedEvent(
                                        false, "proxy-2", "member member=proxy-9", 0, 0)));
        ScheduleRun.Outcome outcome = play(schedule, RigCommand::ownCommand);
        // the last one cannot occur: that it is reported shows that the others were checked
        assertEquals(
                List.of(
                        new Auditors.Violation(
                                "progress",
                                "expected event of proxy-2 did not occur: member member=proxy-9")),
                outcome.broken());
        assertTrue(
                outcome.service().operationsServed() > 20, outcome.service().figures().toString());
        String history = history();
        assertEquals(
                5,
                history.lines()
                        .filter(l -> l.matches("\\d+ SAID proxy-\\d \\d+ started name=.*"))
                        .count());
        assertEquals(
                4,
                history.lines()
                        .filter(l -> l.matches("\\d+ SAID proxy-\\d \\d+ ended name=.*"))
                        .count(),
                "one of five runs was killed");
    }

    /** The schedule ends while a process starts, before a Java program can have a SIGTERM handler. */
    @Test
    void aProcessStartingAtTheEndIsTerminatedOnceItListens() throws Exception {
        ScheduleRun.Outcome outcome =
                play(
                        new Schedule(
                                "test",
                                1,
                                3,
                                false,
                                new Schedule.Fleet(0, 0, 1_000, true),
                                1,
                                1,
                                Load.DEFAULT,
                                List.of(process(RigFault.Kind.KILL, 0.1, 2.85, 0)),
                                List.of()),
                        RigCommand::ownCommand);
        assertEquals(List.of(), outcome.broken());
        assertEquals(
                List.of("started", "killed", "started", "ended"),
                history()
                        .lines()
                        .filter(l -> l.contains(" FAULT proxy-0  "))
                        .map(l -> l.substring(l.lastIndexOf(' ') + 1))
                        .toList());
    }

    @Test
    void twoHoldersOfALeaseAreReported() {
        assertEquals(
                List.of(),
                LeaseAuditor.broken(
                        List.of(
                                acted("proxy-0", "d 1 taken"),
                                acted("proxy-1", "d 2 taken"),
                                acted("proxy-0", "d 1 refused"),
                                acted("proxy-0", "e 1 taken"))));
        assertEquals(
                1,
                LeaseAuditor.broken(
                                List.of(
                                        acted("proxy-0", "d 1 taken"),
                                        acted("proxy-1", "d 2 taken"),
                                        acted("proxy-0", "d 1 taken")))
                        .size());
        assertEquals(
                1,
                LeaseAuditor.broken(
                                List.of(
                                        acted("proxy-0", "d 1 taken"),
                                        acted("proxy-1", "d 1 taken")))
                        .size());
        assertEquals(
                1,
                LeaseAuditor.broken(
                                List.of(
                                        acted("proxy-0", "d 1 taken"),
                                        new Event(
                                                2,
                                                Event.Kind.SAID,
                                                "proxy-1",
                                                "5",
                                                "lease granted role=d token=1")))
                        .size());
    }

    private static Event acted(String who, String what) {
        return new Event(1, Event.Kind.ACTED, "resource", who, what);
    }

    /** A program that exits by itself has to be reported. */
    @Test
    void aProcessThatEndsByItselfIsACrash() throws Exception {
        List<String> ends = List.of("sh", "-c", "echo 'listening on nothing'; exit 3");
        ScheduleRun.Outcome outcome = play(schedule(1, 1), words -> ends);
        assertEquals(
                List.of("no crash"),
                outcome.broken().stream().map(Auditors.Violation::rule).toList());
        assertTrue(
                outcome.broken().get(0).evidence().endsWith("with code 3"),
                outcome.broken().toString());
    }

    @Test
    void rulesIndependentOfTimingAreChecked() {
        List<Event> events =
                List.of(
                        new Event(1, Event.Kind.ASKED, "proxy-0", "a1", "enrolment ka 2000"),
                        new Event(2, Event.Kind.APPLIED, "register", "a1", "ka"),
                        new Event(3, Event.Kind.ANSWERED, "proxy-0", "a1", "SERVER_ERROR busy"),
                        new Event(4, Event.Kind.ANSWERED, "proxy-0", "", "HD Oa1 cr1"),
                        new Event(5, Event.Kind.APPLIED, "register", "a2", "ka"));
        assertEquals(List.of("unasked answers", "harmless refusals"), rules(events));
        List<Event> again = new ArrayList<>(events);
        again.add(4, new Event(4, Event.Kind.ASKED, "proxy-0", "a2", "enrolment ka 2000"));
        assertEquals(List.of("unasked answers", "once", "harmless refusals"), rules(again));
    }

    private static List<String> rules(List<Event> events) {
        return Auditors.untimedViolations(events).stream().map(Auditors.Violation::rule).toList();
    }

    @Test
    void childProcessesEndWhenTheRigIsKilled() throws Exception {
        Path file = folder.resolve("long.toml");
        Files.writeString(file, schedule(LONG_S, 2, process(RigFault.Kind.HOLD, 0, 0, 1)).toml());
        Process rig =
                new ProcessBuilder(
                                RigCommand.ownCommand(
                                        "rig", "run", file.toString(), "--out", folder.toString()))
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("out.txt").toFile())
                        .start();
        try {
            await(
                    TIMEOUT_S,
                    () ->
                            Files.exists(folder.resolve("history.txt"))
                                    && rigProcesses().size() == 2
                                    && IntStream.range(0, 2).allMatch(this::listens));
            Set<ProcessHandle> started = rigProcesses();
            assertEquals(2, started.size());
            rig.destroyForcibly().waitFor();
            await(TIMEOUT_S, () -> started.stream().noneMatch(ProcessHandle::isAlive));
        } finally {
            rig.destroyForcibly();
        }
    }

    private boolean listens(int proxy) {
        try {
            Path log = folder.resolve("proxy-" + proxy + ".log");
            return Files.exists(log) && Files.readString(log).contains("listening on");
        } catch (IOException e) {
            return false;
        }
    }

    /** Processes whose LB_CONFIG is in this test's folder, as far as their environment can be read. */
    private Set<ProcessHandle> rigProcesses() {
        return ProcessHandle.allProcesses()
                .filter(
                        p -> {
                            try {
                                return Files.readString(Path.of("/proc/" + p.pid() + "/environ"))
                                        .contains("LB_CONFIG=" + folder);
                            } catch (IOException e) {
                                return false;
                            }
                        })
                .collect(Collectors.toSet());
    }

    @Test
    void schedulesRoundTripAndErrorsNameTheirLine() {
        for (long seed = 1; seed <= 50; seed++) {
            Schedule schedule =
                    Schedule.random(
                            seed,
                            seed % 2 == 0,
                            seed % 2 == 0
                                    ? new Schedule.Fleet(5, 1, 1_000, true)
                                    : Schedule.Fleet.NONE,
                            5,
                            6,
                            10);
            assertEquals(schedule, Schedule.read("f", schedule.toml()), "seed " + seed);
        }
        assertBad(
                "[town]\nproxies = 41",
                "f line 2: proxies in [town] is not a number from 1.0 to 40.0");
        assertBad(
                "[[fault]]\nkind = \"kill\"\nat_s = 1\nproxy = 7", "f line 4: proxy in [[fault]]");
        assertBad("[[fault]]\nat_s = 1", "f line 1: kind in [[fault]] is not one of kill, hold");
        assertBad(
                "[[fault]]\nkind = \"link\"\nat_s = 1\nthere = {cut = 1}",
                "f line 4: cut in [there] is neither");
        assertBad(
                "[[fault]]\nkind = \"reset\"\nat_s = 1\nproxy = 0",
                "f line 4: proxy is unknown in [[fault]]");
        assertFalse(
                Schedule.random(1, false, Schedule.Fleet.NONE, 5, 6, 10)
                        .equals(Schedule.random(2, false, Schedule.Fleet.NONE, 5, 6, 10)));
    }

    private static void assertBad(String text, String why) {
        String said = assertThrows(BadInput.class, () -> Schedule.read("f", text)).getMessage();
        assertTrue(said.startsWith(why), said);
    }
}
