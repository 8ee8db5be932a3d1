package holdproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class TownTest {
    private static final Town.Size SMALL = new Town.Size(2, 6, 60, 20_000);

    private static Town troubled(long seed) {
        Town town = new Town(seed, SMALL);
        town.at(2, () -> town.nodes.get(1).crash());
        town.at(3, () -> town.list(1, "DELETED", 0));
        town.at(4, () -> town.nodes.get(2).slow(5));
        town.at(5, () -> town.nodeHosts.get(3).silent = true);
        town.at(6, () -> {
            town.nodes.get(4).drain();
            town.list(4, "DRAINING", 0);
        });
        town.play(10);
        return town;
    }

    private static double answeredShare(Town town) {
        return (double) town.record.served() / town.record.count(Event.Kind.ASKED, "");
    }

    @Test
    void aQuietTownIsServedWholeAndNoRuleIsBroken() {
        Town town = new Town(1, SMALL);
        town.play(10);
        assertEquals(List.of(), Auditors.broken(town.record.events()));
        assertTrue(answeredShare(town) > 0.99, "served " + answeredShare(town));
        town.proxies.forEach(p -> assertEquals(0, p.open()));
    }

    @Test
    void aTroubledTownKeepsTheRules() {
        Town town = troubled(2);
        assertEquals(List.of(), Auditors.broken(town.record.events()));
        assertTrue(answeredShare(town) > 0.9, "served " + answeredShare(town));
    }

    @Test
    void theSameSeedGivesTheSameRunAndAnotherSeedAnother() {
        String hash = troubled(3).record.hash();
        assertEquals(hash, troubled(3).record.hash());
        assertNotEquals(hash, troubled(4).record.hash());
    }
}
