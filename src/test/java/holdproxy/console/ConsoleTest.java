package holdproxy.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Answers to valid and invalid console commands, with simulated time. */
class ConsoleTest {
    private final Figures figures = new Figures();
    private final List<String> commands = new ArrayList<>();
    private final List<Consumer<String>> answers = new ArrayList<>();
    private boolean acceptingClients = true;
    private final Console console =
            new Console(
                    null,
                    new ConsoleOperations() {
                        @Override
                        public boolean acceptsClients() {
                            return acceptingClients;
                        }

                        @Override
                        public Figures figures() {
                            return figures;
                        }

                        @Override
                        public void setNodeExcluded(
                                String node, boolean out, Consumer<String> answer) {
                            commands.add(node + " " + out);
                            answers.add(answer);
                        }
                    },
                    line -> {});

    private EmbeddedChannel caller() {
        EmbeddedChannel ch =
                new EmbeddedChannel(
                        new LineBasedFrameDecoder(Console.MAX_LINE_BYTES, true, true),
                        console.new CommandHandler());
        ch.freezeTime();
        return ch;
    }

    private static void send(EmbeddedChannel caller, String text) {
        caller.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        caller.runPendingTasks();
    }

    private static String readAnswer(EmbeddedChannel caller) {
        ByteBuf said = caller.readOutbound();
        if (said == null) {
            return null;
        }
        String text = said.toString(StandardCharsets.ISO_8859_1);
        said.release();
        return text;
    }

    private String call(String line) {
        EmbeddedChannel caller = caller();
        send(caller, line);
        String answer = readAnswer(caller);
        assertFalse(caller.isActive(), "the connection closes after the answer");
        return answer;
    }

    @Test
    void checkIsOkOnlyWhileClientsAreAccepted() {
        assertEquals("OK\r\n", call("check\r\n"));
        assertEquals("OK\r\n", call("check\n"));
        acceptingClients = false;
        assertTrue(call("check\r\n").startsWith("ERR "));
    }

    @Test
    void varsListsEveryFigureThenEnd() {
        figures.forClass("read").ok.add(812);
        figures.forClass("read").shed.add(3);
        figures.forClass("write").errors.add(1);
        figures.active.add(15);
        figures.active.add(-1);
        figures.tries.add(900);
        figures.poolSize.set(8);
        figures.poolEjected.set(1);
        figures.configApplied.add(2);
        assertEquals(
                """
                svc.responses.read.ok=812
                svc.responses.read.shed=3
                svc.responses.read.errors=0
                svc.responses.write.ok=0
                svc.responses.write.shed=0
                svc.responses.write.errors=1
                svc.tries=900
                svc.active=14
                svc.pool_size=8
                svc.pool_ejected=1
                svc.config_applied=2
                svc.config_rejected=0
                END
                """
                        .replace("\n", "\r\n"),
                call("vars\r\n"));
    }

    @Test
    void changesAreAnsweredOnlyOnceEffective() {
        EmbeddedChannel down = caller();
        EmbeddedChannel up = caller();
        send(down, "set-down s-1\r\n");
        send(up, "set-up s-2\r\n");
        assertEquals(List.of("s-1 true", "s-2 false"), commands);
        assertNull(readAnswer(down));
        answers.get(1).accept("no cache node is called s-2");
        answers.get(0).accept(null);
        down.runPendingTasks();
        up.runPendingTasks();
        assertEquals("OK\r\n", readAnswer(down));
        assertEquals("ERR no cache node is called s-2\r\n", readAnswer(up));
    }

    @Test
    void invalidCommandsGetAnError() {
        assertTrue(call("drain\r\n").startsWith("ERR unknown call drain"));
        assertTrue(call("\r\n").startsWith("ERR unknown call"));
        assertTrue(call("set-down\r\n").startsWith("ERR set-down takes the id of one"));
        assertTrue(call("set-up a b\r\n").startsWith("ERR set-up takes the id of one"));
        assertEquals(List.of(), commands);
        assertTrue(call("check now\r\n").startsWith("ERR check takes no argument"));
        assertTrue(call("\u0001\u00ff\r\n").startsWith("ERR the line is no text"));
        assertTrue(
                call("x".repeat(Console.MAX_LINE_BYTES + 1)).startsWith("ERR the line is longer"));
    }

    @Test
    void fragmentedCommandIsOneAndOnlyTheFirstIsAnswered() {
        EmbeddedChannel caller = caller();
        send(caller, "che");
        assertNull(readAnswer(caller));
        send(caller, "ck\r\nvars\r\n");
        assertEquals("OK\r\n", readAnswer(caller));
        assertNull(readAnswer(caller));
    }

    @Test
    void incompleteCommandTimesOut() {
        EmbeddedChannel silent = caller();
        EmbeddedChannel half = caller();
        send(half, "vars");
        for (EmbeddedChannel c : List.of(silent, half)) {
            c.advanceTimeBy(Console.COMMAND_TIMEOUT_MS - 1, TimeUnit.MILLISECONDS);
            c.runPendingTasks();
            assertTrue(c.isActive());
            c.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            c.runPendingTasks();
            assertTrue(readAnswer(c).startsWith("ERR no call"));
            assertFalse(c.isActive());
        }
    }

    @Test
    void idleCallersDoNotBlockOthers() {
        List<EmbeddedChannel> silent = new ArrayList<>();
        for (int i = 0; i < 3 * Console.MAX_CALLERS; i++) {
            silent.add(caller());
        }
        assertEquals(
                Console.MAX_CALLERS, silent.stream().filter(EmbeddedChannel::isActive).count());
        assertFalse(silent.get(0).isActive());
        assertEquals("OK\r\n", call("check\r\n"));
    }

    /** Guards against a caller that keeps the console's loop busy with lines after its command. */
    @Test
    void whatFollowsACommandIsNotSplitIntoLines() {
        EmbeddedChannel caller = caller();
        send(caller, "set-down s-1\r\n" + "x\r\n".repeat(10_000));
        assertNull(caller.pipeline().get(LineBasedFrameDecoder.class));
        assertEquals(List.of("s-1 true"), commands);
        answers.get(0).accept(null);
        caller.runPendingTasks();
        assertEquals("OK\r\n", readAnswer(caller));
    }
}
