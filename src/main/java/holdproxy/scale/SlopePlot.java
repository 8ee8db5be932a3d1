package holdproxy.scale;

import holdproxy.command.LineChart;
import java.nio.file.Path;

/** Plots the series of a run, each in percent of its largest value, with its fitted line. */
final class SlopePlot {
    private static final double PERCENT = 100;

    private SlopePlot() {}

    static void write(ResultFile result, Path file) {
        LineChart plot = new LineChart(result.run(), "n", "% of the series' largest value");
        for (Series series : result.findings().series()) {
            double max = series.points().stream().mapToDouble(p -> Math.abs(p.y())).max().orElse(1);
            double[] x = series.points().stream().mapToDouble(Point::x).toArray();
            double[] y = series.points().stream().mapToDouble(p -> PERCENT * p.y() / max).toArray();
            plot.line(series.role() + ": " + series.quantity() + ", " + series.unit(), x, y);
            Fit fit = series.fit();
            double[] fitted =
                    series.points().stream()
                            .mapToDouble(p -> PERCENT * fit.at(p.x()) / max)
                            .toArray();
            plot.line(
                    "line of " + series.role() + ": " + series.quantity() + ", " + series.unit(),
                    x,
                    fitted);
        }
        plot.write(file);
    }
}
