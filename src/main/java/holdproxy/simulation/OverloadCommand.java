package holdproxy.simulation;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.command.LineChart;
import holdproxy.emulator.Auditors;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * {@code lab overload}: fault-free sites under a steady load at several multiples of their nodes'
 * capacity, and what greedy clubs leave to those within their quota. The load is open loop; a wanted
 * request counts as served if an answer to any of its attempts came within its deadline from when it was
 * first wanted.
 */
@Command(
        name = "overload",
        description = "Measures goodput under a steady load, from underload to heavy overload.",
        mixinStandardHelpOptions = true)
final class OverloadCommand implements Callable<Integer> {
    /** The clubs' total load over the nodes' capacity, before any of them is greedy. */
    private static final double CALM = 0.6;

    @Mixin private LoadOptions options;

    @Option(
            names = "--loads",
            split = ",",
            defaultValue = "0.7,0.9,1,1.2,1.5,2,3,5",
            description = "load over node capacity (${DEFAULT-VALUE})")
    private List<Double> loads;

    @Option(
            names = "--seconds",
            defaultValue = "40",
            description = "virtual seconds per run (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--warm-up",
            defaultValue = "10",
            description = "seconds at the start that are not counted (${DEFAULT-VALUE})")
    private int warmUp;

    @Option(
            names = "--greedy",
            defaultValue = "1",
            description =
                    "clubs, the last ones, that together ask for --greedy-load (${DEFAULT-VALUE});"
                            + " 0: none")
    private int greedy;

    @Option(
            names = "--greedy-load",
            defaultValue = "1.08",
            description = "load over node capacity; the default is 10 times the site's last club")
    private double greedyLoad;

    @Override
    public Integer call() throws InterruptedException, ExecutionException, IOException {
        check();
        List<Scenario> all = new ArrayList<>();
        loads.forEach(load -> all.addAll(options.scenarios(load, seconds, List.of())));
        if (greedy > 0) {
            all.addAll(options.scenarios(CALM, seconds, greed()));
        }
        List<LoadTimeSeries> plays = ParallelRuns.all(all, LoadTimeSeries::of, p -> true);
        List<Map<String, Object>> rows = new ArrayList<>();
        for (int i = 0; i < loads.size(); i++) {
            rows.add(
                    row(
                            loads.get(i),
                            plays.subList(i * options.seeds(), (i + 1) * options.seeds())));
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("town", options.town());
        report.put("loads", rows);
        if (greedy > 0) {
            report.put(
                    "greedy",
                    greedyRow(plays.subList(loads.size() * options.seeds(), plays.size())));
        }
        List<Auditors.Violation> broken = plays.stream().flatMap(p -> p.broken.stream()).toList();
        report.put("broken", broken.size());
        if (options.json) {
            System.out.println(JSON.std.asString(report));
        } else {
            print(rows, report);
            LabCommand.rules(broken);
        }
        if (options.plot != null) {
            plot(rows);
        }
        return broken.isEmpty() ? 0 : 1;
    }

    private void check() {
        options.check();
        loads.forEach(load -> LoadOptions.require("--loads", load, 0.01, 100));
        LoadOptions.require("--seconds", seconds, 2, 3600);
        LoadOptions.require("--warm-up", warmUp, 0, seconds - 1);
        LoadOptions.require("--greedy", greedy, 0, options.clubs().size() - 1);
        LoadOptions.require("--greedy-load", greedyLoad, 0.01, 100);
    }

    private List<Fault> greed() {
        List<Double> clubs = options.clubs();
        double share =
                clubs.subList(clubs.size() - greedy, clubs.size()).stream()
                        .mapToDouble(s -> s)
                        .sum();
        return IntStream.range(clubs.size() - greedy, clubs.size())
                .mapToObj(
                        club ->
                                new Fault(
                                        Fault.Kind.SURGE,
                                        0,
                                        0,
                                        0,
                                        club,
                                        0,
                                        greedyLoad / (CALM * share),
                                        0))
                .toList();
    }

    private Map<String, Object> row(double load, List<LoadTimeSeries> plays) {
        double[] seconds =
                plays.stream()
                        .flatMapToDouble(
                                p -> Arrays.stream(LoadTimeSeries.bySecond(p.inTime(), warmUp)))
                        .sorted()
                        .toArray();
        Oscillation served =
                Oscillation.of(plays.stream().map(LoadTimeSeries::inTime).toList(), warmUp);
        Oscillation sent =
                Oscillation.of(plays.stream().map(LoadTimeSeries::attempts).toList(), warmUp);
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("load", load);
        row.put(
                "capacity_per_s",
                plays.stream().mapToDouble(p -> p.capacityPerS).average().orElse(0));
        row.put("share", share(plays));
        row.put("spread", plays.stream().map(p -> p.shareOfCapacity(warmUp)).sorted().toList());
        row.put("least_s", seconds[0]);
        row.put("most_s", seconds[seconds.length - 1]);
        row.put("mean_s", Arrays.stream(seconds).average().orElse(0));
        row.put(
                "attempts_per_s",
                plays.stream()
                        .mapToDouble(p -> LoadTimeSeries.perS(p.attempts(), warmUp))
                        .average()
                        .orElse(0));
        row.put("period_s", sent.periodS());
        row.put("strength", sent.strength());
        row.put("swing_sent", sent.size());
        row.put("swing_served", served.size());
        return row;
    }

    private double share(List<LoadTimeSeries> plays) {
        return plays.stream().mapToDouble(p -> p.shareOfCapacity(warmUp)).average().orElse(0);
    }

    /** The clubs within their quota, and the greedy ones. */
    private Map<String, Object> greedyRow(List<LoadTimeSeries> plays) {
        int clubs = options.clubs().size();
        double[] shares =
                IntStream.range(0, clubs)
                        .mapToDouble(
                                club ->
                                        plays.stream()
                                                .mapToDouble(p -> p.share(club, warmUp))
                                                .average()
                                                .orElse(0))
                        .toArray();
        double[] within = Arrays.copyOf(shares, clubs - greedy);
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("within_mean", Arrays.stream(within).average().orElse(0));
        row.put("within_least", Arrays.stream(within).min().orElse(0));
        row.put("greedy_mean", Arrays.stream(shares, clubs - greedy, clubs).average().orElse(0));
        row.put("share", share(plays));
        return row;
    }

    private static void print(List<Map<String, Object>> rows, Map<String, Object> report) {
        System.out.println(report.get("town"));
        System.out.println(
                "load/capacity  share  least-most second (mean)  attempts/s (capacity)  "
                        + "cycle s (strength)  swing sent  served");
        for (Map<String, Object> r : rows) {
            System.out.printf(
                    Locale.ROOT,
                    "%13.2f %6.3f %8.0f - %4.0f (%4.0f) %16.0f (%.0f) "
                            + "%14.1f (%.2f) %15.2f %7.2f%n",
                    r.get("load"),
                    r.get("share"),
                    r.get("least_s"),
                    r.get("most_s"),
                    r.get("mean_s"),
                    r.get("attempts_per_s"),
                    r.get("capacity_per_s"),
                    r.get("period_s"),
                    r.get("strength"),
                    r.get("swing_sent"),
                    r.get("swing_served"));
        }
        if (report.get("greedy") instanceof Map<?, ?> greedy) {
            System.out.printf(
                    Locale.ROOT,
                    "clubs within their quota in time: mean %.3f, least %.3f; greedy "
                            + "%.3f; share of capacity %.3f%n",
                    greedy.get("within_mean"),
                    greedy.get("within_least"),
                    greedy.get("greedy_mean"),
                    greedy.get("share"));
        }
    }

    private void plot(List<Map<String, Object>> rows) {
        LineChart plot =
                new LineChart(
                        "Served in time over node capacity", "load / capacity", "per capacity");
        double[] x = column(rows, "load");
        double[] capacity = column(rows, "capacity_per_s");
        plot.line("served in time", x, column(rows, "share"));
        for (String name : List.of("least_s", "most_s", "attempts_per_s")) {
            double[] perS = column(rows, name);
            Arrays.setAll(perS, i -> perS[i] / capacity[i]);
            plot.line(name, x, perS);
        }
        plot.write(options.plot);
    }

    private static double[] column(List<Map<String, Object>> rows, String name) {
        return rows.stream().mapToDouble(r -> ((Number) r.get(name)).doubleValue()).toArray();
    }
}
