package holdproxy.simulation;

import java.util.Arrays;
import java.util.List;

/**
 * Oscillation of a series: the highest peak of its autocorrelation beyond the first zero crossing,
 * averaged over simulation runs. White noise has no peak that stands out; an oscillation has one at its
 * period.
 *
 * @param periodS period in seconds; 0 if no peak stands out
 * @param strength autocorrelation at that period; 1 for an oscillation that repeats exactly
 * @param size standard deviation over mean of the half-second counts, beyond that of Poisson arrivals
 */
record Oscillation(double periodS, double strength, double size) {
    private static final double LONGEST_S = 12;

    /** A peak below this many standard errors of the autocorrelation of white noise is ignored. */
    private static final double ERRORS = 2;

    /** Analyses the series of several runs from this second on. */
    static Oscillation of(List<double[]> series, double fromS) {
        int from = (int) (fromS / LoadTimeSeries.BIN_S);
        int length = series.get(0).length - from;
        int lags = Math.min(length / 2, (int) (LONGEST_S / LoadTimeSeries.BIN_S));
        double[] mean = new double[lags];
        double size = 0;
        for (double[] s : series) {
            double[] part = Arrays.copyOfRange(s, from, s.length);
            double average = Arrays.stream(part).average().orElse(0);
            double[] c = autocovariance(part, average, lags);
            Arrays.setAll(mean, lag -> mean[lag] + c[lag] / Math.max(1e-9, c[0]) / series.size());
            double variance = c[0] / length;
            size +=
                    Math.sqrt(Math.max(0, variance - average))
                            / Math.max(1e-9, average)
                            / series.size();
        }
        int lag = 1;
        while (lag < lags && mean[lag] > 0) {
            lag++;
        }
        int top = lag;
        for (int i = lag + 1; i < lags; i++) {
            top = mean[i] > mean[top] ? i : top;
        }
        double noise = ERRORS / Math.sqrt((double) length * series.size());
        boolean found = top < lags && mean[top] > noise;
        return new Oscillation(found ? top * LoadTimeSeries.BIN_S : 0, found ? mean[top] : 0, size);
    }

    /** Autocovariances as sums, not means; the one at lag 0 is the sum of squares. */
    private static double[] autocovariance(double[] part, double mean, int lags) {
        double[] r = new double[lags];
        for (int lag = 0; lag < lags; lag++) {
            for (int i = 0; i + lag < part.length; i++) {
                r[lag] += (part[i] - mean) * (part[i + lag] - mean);
            }
        }
        return r;
    }
}
