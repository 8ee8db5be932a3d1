package holdproxy.scale;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line {@code a + b x n} by least squares.
 *
 * @param a its value at 0
 * @param aError standard error of {@code a}
 * @param b its slope
 * @param bError standard error of {@code b}
 * @param r2 the part of the variance that the line explains
 * @param points how many it was fitted to
 * @param residual standard deviation of the points about the line
 * @param meanX mean of the points' x
 * @param sumX2 sum of squared distances of x from its mean
 */
record Fit(
        double a,
        double aError,
        double b,
        double bError,
        double r2,
        int points,
        double residual,
        double meanX,
        double sumX2) {
    private static final double CONFIDENCE = 0.95;

    /** {@code NaN} for what too few points do not determine. */
    static Fit of(List<Point> points) {
        SimpleRegression line = new SimpleRegression();
        points.forEach(p -> line.addData(p.x(), p.y()));
        double mean = points.stream().mapToDouble(Point::x).average().orElse(0);
        return new Fit(
                line.getIntercept(),
                line.getInterceptStdErr(),
                line.getSlope(),
                line.getSlopeStdErr(),
                line.getRSquare(),
                points.size(),
                Math.sqrt(line.getMeanSquareError()),
                mean,
                line.getXSumSquares());
    }

    double at(double x) {
        return a + b * x;
    }

    /** Half the width of the 95% interval of the line at x. */
    double errorAt(double x) {
        if (points < 3) {
            return Double.NaN;
        }
        double quantile =
                new TDistribution(points - 2).inverseCumulativeProbability((1 + CONFIDENCE) / 2);
        return quantile * residual * Math.sqrt(1.0 / points + (x - meanX) * (x - meanX) / sumX2);
    }
}
