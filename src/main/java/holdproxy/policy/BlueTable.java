package holdproxy.policy;

import java.util.Arrays;

/**
 * FAIR's table: levels x buckets, each with a value and the time of its last update; values decay
 * exponentially.
 */
final class BlueTable {
    /** Upper limit of every probability: some trial requests always get through. */
    static final double PROBABILITY_MAX = 0.98;

    private final int levels;
    private final int buckets;
    private double decayUs;
    private final float[] values;
    private final long[] updatedAt;
    private long seed;

    /** {@code buckets} must be a power of two. */
    BlueTable(int levels, int buckets, double decayUs, long seed) {
        this.levels = levels;
        this.buckets = buckets;
        this.decayUs = decayUs;
        this.seed = seed;
        values = new float[levels * buckets];
        updatedAt = new long[levels * buckets];
    }

    /** Kirsch-Mitzenmacher: one hash gives the buckets of all levels. */
    private int bucket(long hash, int level) {
        int h = (int) hash + level * ((int) (hash >>> 32) | 1);
        return level * buckets + (h & buckets - 1);
    }

    double min(long id, long now) {
        long hash = SplitMix64.mix(id ^ seed);
        double least = Double.MAX_VALUE;
        for (int level = 0; level < levels && least > 0; level++) {
            int b = bucket(hash, level);
            least = Math.min(least, DecayingValue.decayed(values[b], updatedAt[b], now, decayUs));
        }
        return least;
    }

    /** Adds a positive or negative step to the bucket of each level, clamped to 0 to {@code limit}. */
    void add(long id, double step, double limit, long now) {
        long hash = SplitMix64.mix(id ^ seed);
        for (int level = 0; level < levels; level++) {
            int b = bucket(hash, level);
            double v = DecayingValue.decayed(values[b], updatedAt[b], now, decayUs) + step;
            values[b] = (float) Math.max(0, Math.min(limit, v));
            updatedAt[b] = now;
        }
    }

    /** Sets the decay time: values fall to 1/e in this time, counted from each bucket's last update. */
    void setDecayUs(double us) {
        decayUs = us;
    }

    /** Clears all values and changes the hash seed. */
    void reset(long newSeed) {
        Arrays.fill(values, 0);
        seed = newSeed;
    }
}
