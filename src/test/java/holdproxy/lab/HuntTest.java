package holdproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Towns drawn by seeds, faults overlapping: no rule is broken, and a seed always goes the same way. */
class HuntTest {
    private static List<DrawnTown.Result> hunt(long seeds) {
        return LongStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> DrawnTown.play(seed, 10)).toList();
    }

    @Test
    void noSeedOfTwoHundredBreaksARule() {
        for (DrawnTown.Result r : hunt(200)) {
            assertEquals(List.of(), r.broken(), "seed " + r.seed());
        }
    }

    @Test
    void aSecondHuntGoesTheSameWay() {
        assertEquals(hunt(20), hunt(20));
    }
}
