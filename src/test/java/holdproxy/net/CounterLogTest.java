package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdproxy.policy.PolicyCounters;
import org.junit.jupiter.api.Test;

class CounterLogTest {
    private final LoopLag lateness = new LoopLag(0);
    private final CounterLog counterLog = new CounterLog(new PolicyCounters(), () -> "", lateness);

    @Test
    void loopDelayIsLoggedOnceAndOnlyFrom100Milliseconds() {
        lateness.ticked(20_000);
        lateness.ticked(130_000); // 90 ms late
        assertEquals("", counterLog.changesSinceLastCall(130_000));
        lateness.ticked(420_000); // 270 ms late
        assertEquals(" late_ms=270", counterLog.changesSinceLastCall(420_000));
        assertEquals("", counterLog.changesSinceLastCall(430_000));
    }

    @Test
    void idleIterationsAreLoggedOnlyFrom250InASecond() {
        LoopIoHandlerFactory factory =
                new LoopIoHandlerFactory(executor -> new LoopIoHandlerFactoryTest.FakeLoop());
        LoopIoHandlerFactoryTest.FakeLoop loop = new LoopIoHandlerFactoryTest.FakeLoop();
        var handler = factory.newHandler(null);
        counterLog.setTurns(factory);
        for (int i = 0; i < 249; i++) {
            handler.run(loop);
        }
        assertEquals("", counterLog.changesSinceLastCall(0));
        for (int i = 0; i < 300; i++) {
            handler.run(loop);
        }
        assertEquals(" turns=300 idle_turns=300", counterLog.changesSinceLastCall(0));
        assertEquals("", counterLog.changesSinceLastCall(0));
    }
}
