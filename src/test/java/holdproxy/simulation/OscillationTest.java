package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class OscillationTest {
    /**
     * Half-second counts over a minute, 120 on average, that oscillate with this relative amplitude and
     * period.
     */
    private static List<double[]> plays(double part, double periodS) {
        SplittableRandom random = new SplittableRandom(7);
        List<double[]> plays = new ArrayList<>();
        for (int play = 0; play < 3; play++) {
            double phase = random.nextDouble(2 * Math.PI);
            plays.add(
                    IntStream.range(0, 120)
                            .mapToDouble(
                                    i ->
                                            120
                                                            * (1
                                                                    + part
                                                                            * Math.sin(
                                                                                    phase
                                                                                            + 2
                                                                                                    * Math
                                                                                                            .PI
                                                                                                    * i
                                                                                                    * LoadTimeSeries
                                                                                                            .BIN_S
                                                                                                    / periodS))
                                                    + Math.sqrt(120) * random.nextGaussian())
                            .toArray());
        }
        return plays;
    }

    @Test
    void oscillationIsFoundWithItsPeriodAndSize() {
        Oscillation cycle = Oscillation.of(plays(0.4, 5), 10);
        assertEquals(5, cycle.periodS(), LoadTimeSeries.BIN_S);
        assertEquals(0.4 / Math.sqrt(2), cycle.size(), 0.04);
        assertTrue(cycle.strength() > 0.5, cycle.toString());
    }

    @Test
    void chanceArrivalsHaveNoCycle() {
        Oscillation cycle = Oscillation.of(plays(0, 5), 10);
        assertTrue(cycle.strength() < 0.2 && cycle.size() < 0.06, cycle.toString());
    }
}
