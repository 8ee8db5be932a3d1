package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdproxy.policy.Router;
import org.junit.jupiter.api.Test;

/** When the attempts at one request may still be begun. */
class ExchangeTest {
    private static final long WINDOW_US = 2_500_000;

    private static Exchange exchange(Router.Effect effect) {
        Router.RequestClass type = new Router.RequestClass();
        type.effect = effect;
        type.repeatWindowUs = WINDOW_US;
        return new Exchange(1, null, null, null, 0, 3, type);
    }

    private static Attempt send(Exchange exchange, long atUs) {
        Attempt a = new Attempt(exchange, exchange.attempts.size(), atUs, 0, 0);
        exchange.add(a);
        return a;
    }

    /** Guards against a first attempt that begins long after its repeat, which nodes drop only for a while. */
    @Test
    void anAttemptMayOnlyBeginWithinTheRepeatWindowOfTheOthers() {
        Exchange exchange = exchange(Router.Effect.KEYED);
        Attempt first = send(exchange, 0);
        assertEquals(true, first.mayStillBegin(100 * WINDOW_US));
        Attempt second = send(exchange, 1_000_000);
        assertEquals(true, first.mayStillBegin(1_000_000 + WINDOW_US - 1));
        assertEquals(false, first.mayStillBegin(1_000_000 + WINDOW_US));
        assertEquals(true, second.mayStillBegin(WINDOW_US - 1));
        assertEquals(false, second.mayStillBegin(WINDOW_US));
    }

    @Test
    void attemptsThatMayBeRepeatedMayBeginAtAnyTime() {
        Exchange exchange = exchange(Router.Effect.SAFE);
        Attempt first = send(exchange, 0);
        Attempt second = send(exchange, 1_000_000);
        assertEquals(true, first.mayStillBegin(100 * WINDOW_US));
        assertEquals(true, second.mayStillBegin(100 * WINDOW_US));
    }
}
