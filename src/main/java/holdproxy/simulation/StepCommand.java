package holdproxy.simulation;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.command.LineChart;
import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * {@code lab step}: response to a step in load up and one down again. All figures are means over the
 * seeds, each relative to its nodes' capacity, in a window of one second.
 */
@Command(
        name = "step",
        description = "Measures the response to a step in load up and down.",
        mixinStandardHelpOptions = true)
final class StepCommand implements Callable<Integer> {
    /**
     * Settled: from here on within this distance of the final level, which is the mean of this many
     * seconds.
     */
    private static final double WITHIN = 0.15;

    private static final double LEVEL_S = 10;
    private static final double RISEN = 0.9;

    /** After the step down: settled once the share served is back at its level before, less this. */
    private static final double LESS = 0.05;

    private static final int WINDOW = (int) (1 / LoadTimeSeries.BIN_S);

    @Mixin private LoadOptions options;

    @Option(
            names = "--low",
            defaultValue = "0.6",
            description = "load over capacity (${DEFAULT-VALUE})")
    private double low;

    @Option(
            names = "--high",
            defaultValue = "2",
            description = "load over capacity (${DEFAULT-VALUE})")
    private double high;

    @Option(
            names = "--up-at",
            defaultValue = "15",
            description = "second of the step (${DEFAULT-VALUE})")
    private int upAt;

    @Option(
            names = "--for",
            defaultValue = "20",
            description = "seconds of high load (${DEFAULT-VALUE})")
    private int forS;

    @Option(
            names = "--after",
            defaultValue = "20",
            description = "seconds after the step down (${DEFAULT-VALUE})")
    private int afterS;

    @Override
    public Integer call() throws InterruptedException, ExecutionException, IOException {
        options.check();
        LoadOptions.require("--low", low, 0.01, 100);
        LoadOptions.require("--high", high, low, 100);
        LoadOptions.require("--up-at", upAt, LEVEL_S + 1, 3600);
        LoadOptions.require("--for", forS, LEVEL_S + 1, 3600);
        LoadOptions.require("--after", afterS, 1, 3600);
        List<Fault> surges =
                IntStream.range(0, options.clubs().size())
                        .mapToObj(
                                club ->
                                        new Fault(
                                                Fault.Kind.SURGE,
                                                upAt,
                                                forS,
                                                0,
                                                club,
                                                0,
                                                high / low,
                                                0))
                        .toList();
        List<LoadTimeSeries> plays =
                ParallelRuns.all(
                        options.scenarios(low, upAt + forS + afterS, surges),
                        LoadTimeSeries::of,
                        p -> true);
        double[] wanted = mean(plays.stream().map(p -> over(p.wanted(), p)).toList());
        double[] inTime = mean(plays.stream().map(p -> over(p.inTime(), p)).toList());
        double[] attempts = mean(plays.stream().map(p -> over(p.attempts(), p)).toList());
        Map<String, Object> report = report(wanted, inTime, attempts);
        long broken = plays.stream().mapToLong(p -> p.broken.size()).sum();
        report.put("broken", broken);
        if (options.json) {
            System.out.println(JSON.std.asString(report));
        } else {
            System.out.println(
                    options.town() + ": load " + low + " to " + high + " of capacity and back");
            report.forEach(
                    (k, v) ->
                            System.out.printf(
                                    Locale.ROOT,
                                    "%-22s %s%n",
                                    k,
                                    v instanceof Double
                                            ? String.format(Locale.ROOT, "%.3f", v)
                                            : v));
        }
        if (options.plot != null) {
            LineChart plot = new LineChart("A step in load", "second", "relative to node capacity");
            double[] x =
                    IntStream.range(0, wanted.length)
                            .mapToDouble(i -> i * LoadTimeSeries.BIN_S)
                            .toArray();
            plot.line("wanted", x, wanted);
            plot.line("in time", x, inTime);
            plot.line("attempts", x, attempts);
            plot.write(options.plot);
        }
        return broken == 0 ? 0 : 1;
    }

    private Map<String, Object> report(double[] wanted, double[] inTime, double[] attempts) {
        int up = bin(upAt);
        int down = bin(upAt + forS);
        double level = level(inTime, down);
        double sentLevel = level(attempts, down);
        double shareBefore = level(inTime, up) / level(wanted, up);
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("share_before", shareBefore);
        f.put("up_level", level);
        f.put("up_attempts_level", sentLevel);
        f.put(
                "up_rise_s",
                LoadTimeSeries.BIN_S
                        * IntStream.range(0, down - up)
                                .filter(i -> window(inTime, up + i) >= RISEN * level)
                                .findFirst()
                                .orElse(down - up));
        f.put(
                "up_overshoot_sent",
                IntStream.range(up, down - WINDOW)
                                        .mapToDouble(i -> window(attempts, i))
                                        .max()
                                        .orElse(0)
                                / sentLevel
                        - 1);
        f.put(
                "up_least_served",
                IntStream.range(up, down - WINDOW)
                                .mapToDouble(i -> window(inTime, i))
                                .min()
                                .orElse(0)
                        / level);
        f.put(
                "up_settled_s",
                settled(up, down, i -> Math.abs(window(inTime, i) / level - 1) - WITHIN));
        f.put(
                "down_settled_s",
                settled(
                        down,
                        wanted.length,
                        i -> shareBefore - LESS - window(inTime, i) / window(wanted, i)));
        return f;
    }

    /** Seconds after the first bin from which on no value is above 0. */
    private static double settled(int from, int to, IntToDoubleFunction beyond) {
        int last =
                IntStream.range(from, to - WINDOW + 1)
                        .filter(i -> beyond.applyAsDouble(i) > 0)
                        .max()
                        .orElse(from - 1);
        return (last + 1 - from) * LoadTimeSeries.BIN_S;
    }

    private static int bin(double second) {
        return (int) (second / LoadTimeSeries.BIN_S);
    }

    /** Mean of the last seconds before a bin. */
    private static double level(double[] bins, int before) {
        return Arrays.stream(bins, before - bin(LEVEL_S), before).average().orElse(0);
    }

    private static double window(double[] bins, int from) {
        return Arrays.stream(bins, from, from + WINDOW).average().orElse(0);
    }

    private static double[] over(double[] bins, LoadTimeSeries play) {
        return Arrays.stream(bins).map(x -> x / LoadTimeSeries.BIN_S / play.capacityPerS).toArray();
    }

    private static double[] mean(List<double[]> all) {
        double[] mean = new double[all.get(0).length];
        all.forEach(one -> Arrays.setAll(mean, i -> mean[i] + one[i] / all.size()));
        return mean;
    }
}
