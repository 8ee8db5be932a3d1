package holdproxy.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The tables of {@code docs/CAPACITY.md}, in Markdown: the same text for the same results. */
final class SlopeTables {
    private static final int LEAST_POINTS = 3;

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
        Map<String, List<Row>> byRole = new LinkedHashMap<>();
        for (ResultFile result : results) {
            for (Series series : result.findings().series()) {
                byRole.computeIfAbsent(series.role(), role -> new ArrayList<>())
                        .add(new Row(result, series));
            }
        }
        byRole.forEach(
                (role, rows) -> {
                    text.append("### ").append(role).append("\n\n");
                    line(
                            text,
                            "quantity",
                            "unit",
                            "n",
                            "a ± error",
                            "b ± error",
                            "r²",
                            "measured at n",
                            "target n",
                            "at the target (95%)",
                            "beyond the largest",
                            "budget",
                            "mechanism",
                            "run");
                    line(
                            text, "---", "---", "---", "---:", "---:", "---:", "---", "---:",
                            "---:", "---:", "---:", "---", "---");
                    rows.forEach(row -> slope(row, text));
                    text.append('\n');
                });
    }

    private static void slope(Row row, StringBuilder text) {
        Series s = row.series();
        Fit fit = s.fit();
        boolean fitted = s.points().size() >= LEAST_POINTS;
        String sizes = String.join(", ", s.points().stream().map(p -> figure(p.x())).toList());
        line(
                text,
                s.quantity(),
                s.unit(),
                s.variable(),
                fitted ? figure(fit.a()) + " ± " + figure(fit.aError()) : "not fitted",
                fitted ? figure(fit.b()) + " ± " + figure(fit.bError()) : "not fitted",
                fitted ? String.format(Locale.ROOT, "%.3f", fit.r2()) : "",
                sizes,
                figure(s.target()),
                fitted
                        ? figure(fit.at(s.target())) + " ± " + figure(fit.errorAt(s.target()))
                        : "not fitted",
                s.largest() >= s.target() ? "none" : "x " + figure(s.target() / s.largest()),
                budget(s, fit, fitted),
                s.mechanism(),
                row.result().run());
    }

    private static String budget(Series s, Fit fit, boolean fitted) {
        if (Double.isNaN(s.budget())) {
            return "none stated";
        }
        String text = figure(s.budget());
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
                        figure(l.ms(50)),
                        figure(l.ms(99)),
                        figure(l.worstMs()),
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
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /** With three significant digits, and whole from 1,000 on. */
    static String figure(double value) {
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
