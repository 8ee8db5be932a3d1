package holdproxy.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Generates the Markdown tables of {@code docs/CAPACITY.md}; the output depends on the results alone. */
final class SlopeTables {
    private static final int MIN_FITTED_POINTS = 3;

    private static final int FITTED_COLUMNS = 5;
    private static final List<String> SLOPE_COLUMNS =
            List.of(
                    "quantity",
                    "unit",
                    "n",
                    "measured, by n",
                    "a",
                    "b",
                    "r²",
                    "a + b n at the target (95%)",
                    "of that each",
                    "target n",
                    "extrapolated",
                    "budget",
                    "run");

    private SlopeTables() {}

    static String of(List<ResultFile> results) {
        StringBuilder text = new StringBuilder();
        slopes(results, text);
        latencies(results, text);
        verdicts(results, text);
        runs(results, text);
        return text.toString();
    }

    private record Row(ResultFile result, Series series) {}

    private static void slopes(List<ResultFile> results, StringBuilder text) {
        Map<String, List<Row>> groups = new LinkedHashMap<>();
        for (ResultFile result : results) {
            for (Series series : result.findings().series()) {
                String group = series.role() + ": " + series.mechanism();
                groups.computeIfAbsent(group, name -> new ArrayList<>())
                        .add(new Row(result, series));
            }
        }
        groups.forEach(
                (group, rows) -> {
                    text.append("### ").append(group).append("\n\n");
                    line(text, SLOPE_COLUMNS);
                    line(text, Collections.nCopies(SLOPE_COLUMNS.size(), "---"));
                    rows.forEach(row -> line(text, slope(row)));
                    text.append('\n');
                });
    }

    private static List<String> slope(Row row) {
        Series s = row.series();
        List<String> cells =
                new ArrayList<>(List.of(s.quantity(), s.unit(), s.variable(), measured(s)));
        Fit fit = s.fit();
        if (s.points().size() < MIN_FITTED_POINTS) {
            cells.addAll(Collections.nCopies(FITTED_COLUMNS, "not fitted"));
        } else {
            double target = fit.at(s.target());
            cells.add(formatNumber(fit.a()) + " ± " + formatNumber(fit.aError()));
            cells.add(formatNumber(fit.b()) + " ± " + formatNumber(fit.bError()));
            cells.add(String.format(Locale.ROOT, "%.3f", fit.r2()));
            cells.add(formatNumber(target) + " ± " + formatNumber(fit.errorAt(s.target())));
            cells.add(formatNumber(target / s.target()));
        }
        cells.add(formatNumber(s.target()));
        cells.add(
                s.largest() >= s.target()
                        ? "no"
                        : formatNumber(s.target() / s.largest()) + " times");
        cells.add(budget(s, fit, s.points().size() >= MIN_FITTED_POINTS));
        cells.add(row.result().run());
        return cells;
    }

    private static String measured(Series series) {
        return series.points().stream()
                .map(point -> formatNumber(point.x()) + ": " + formatNumber(point.y()))
                .collect(Collectors.joining("; "));
    }

    private static String budget(Series s, Fit fit, boolean fitted) {
        if (Double.isNaN(s.budget())) {
            return "none stated";
        }
        String text = formatNumber(s.budget());
        return !fitted
                ? text
                : fit.at(s.target()) > s.budget() ? "**over** " + text : "within " + text;
    }

    private static void latencies(List<ResultFile> results, StringBuilder text) {
        if (results.stream().allMatch(r -> r.findings().latencies().isEmpty())) {
            return;
        }
        text.append("### From a commit to in force\n\n");
        line(text, "what", "values", "p50 ms", "p99 ms", "worst ms", "run");
        line(text, "---", "---:", "---:", "---:", "---:", "---");
        for (ResultFile result : results) {
            for (Latencies l : result.findings().latencies()) {
                line(
                        text,
                        l.what(),
                        Long.toString(l.values().getTotalCount()),
                        formatNumber(l.ms(50)),
                        formatNumber(l.ms(99)),
                        formatNumber(l.worstMs()),
                        result.run());
            }
        }
        text.append('\n');
    }

    private static void verdicts(List<ResultFile> results, StringBuilder text) {
        text.append("### Rules\n\n");
        line(text, "rule", "verdict", "detail", "run");
        line(text, "---", "---", "---", "---");
        for (ResultFile result : results) {
            for (Verdict v : result.findings().verdicts()) {
                line(text, v.rule(), v.kept() ? "kept" : "**broken**", v.detail(), result.run());
            }
        }
        text.append('\n');
    }

    private static void runs(List<ResultFile> results, StringBuilder text) {
        text.append("### Runs\n\n");
        line(text, "run", "began (UTC)", "machine");
        line(text, "---", "---", "---");
        results.forEach(r -> line(text, r.run(), r.began(), r.machine()));
    }

    private static void line(StringBuilder text, String... cells) {
        line(text, List.of(cells));
    }

    private static void line(StringBuilder text, List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /** Formats a value with three significant digits, or as a whole number from 1,000 on. */
    static String formatNumber(double value) {
        if (Double.isNaN(value)) {
            return "?";
        }
        double size = Math.abs(value);
        if (size >= 1000) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        int digits = size == 0 ? 0 : Math.max(0, 2 - (int) Math.floor(Math.log10(size)));
        String text = String.format(Locale.ROOT, "%." + Math.min(digits, 9) + "f", value);
        return text.contains(".") ? text.replaceAll("0+$", "").replaceAll("\\.$", "") : text;
    }
}
