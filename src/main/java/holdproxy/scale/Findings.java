package holdproxy.scale;

import java.util.ArrayList;
import java.util.List;

/** Results of measurements: series, latencies and verdicts. */
record Findings(List<Series> series, List<Latencies> latencies, List<Verdict> verdicts) {
    Findings() {
        this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    }

    Series add(Series one) {
        series.add(one);
        return one;
    }

    void addVerdict(String rule, boolean kept, String detail) {
        verdicts.add(new Verdict(rule, kept, detail));
    }

    boolean allRulesKept() {
        return verdicts.stream().allMatch(Verdict::kept);
    }
}
