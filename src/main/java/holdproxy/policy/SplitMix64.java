package holdproxy.policy;

/** SplitMix64 generator, seeded per instance; its mixing function also serves as a hash. */
final class SplitMix64 {
    private long state;

    SplitMix64(long seed) {
        state = seed;
    }

    long nextLong() {
        state += 0x9e3779b97f4a7c15L;
        return mix(state);
    }

    /** Uniform in [0, 1). */
    double nextUnit() {
        return toUnit(nextLong());
    }

    static long mix(long h) {
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }

    /** Maps a hash to [0, 1). */
    static double toUnit(long hash) {
        return (hash >>> 11) * 0x1p-53;
    }
}
