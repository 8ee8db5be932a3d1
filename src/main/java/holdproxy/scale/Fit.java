package holdproxy.scale;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line {@code a + b * n}, fitted by least squares.
 *
 * @param a intercept
 * @param aError standard error of {@code a}
 * @param b slope
 * @param bError standard error of {@code b}
 * @param r2 coefficient of determination
 * @param points number of points fitted
 * @param residual standard deviation of the points about the line
 * @param meanX mean of x
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

    /** Fits a line; fields that too few points leave undetermined are {@code NaN}. */
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

    /** Half the width of the line's 95% confidence interval at x. */
    double errorAt(double x) {
        if (points < 3) {
            return Double.NaN;
        }
        double quantile =
                new TDistribution(points - 2).inverseCumulativeProbability((1 + CONFIDENCE) / 2);
        return quantile * residual * Math.sqrt(1.0 / points + (x - meanX) * (x - meanX) / sumX2);
    }
}
