package holdproxy.command;

import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.file.Path;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** A line chart, written as an image. */
public final class LineChart {
    private static final int WIDTH = 1000;
    private static final int HEIGHT = 560;

    private final String title;
    private final String xName;
    private final String yName;
    private final XYSeriesCollection lines = new XYSeriesCollection();

    /** Creates an empty chart; the axis names include the units. */
    public LineChart(String title, String xName, String yName) {
        this.title = title;
        this.xName = xName;
        this.yName = yName;
        System.setProperty("java.awt.headless", "true");
    }

    /** Adds a line through these points; both arrays have the same length. */
    public void line(String name, double[] x, double[] y) {
        XYSeries line = new XYSeries(name);
        for (int i = 0; i < x.length; i++) {
            line.add(x[i], y[i]);
        }
        lines.addSeries(line);
    }

    /** Writes the chart as PNG. */
    public void write(Path file) {
        try {
            ChartUtils.saveChartAsPNG(
                    file.toFile(),
                    ChartFactory.createXYLineChart(title, xName, yName, lines),
                    WIDTH,
                    HEIGHT);
        } catch (IOException e) {
            throw new BadInput("cannot write " + file + ": " + e.getClass().getSimpleName());
        }
    }
}
