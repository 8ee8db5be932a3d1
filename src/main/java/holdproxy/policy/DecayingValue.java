package holdproxy.policy;

import java.util.Arrays;

/** A value that decays exponentially since its last update: a rate, a report or a single BLUE bucket. */
final class DecayingValue {
    private double decayUs;
    private double value;
    private long updated;

    DecayingValue(double decayUs) {
        this.decayUs = decayUs;
    }

    static DecayingValue[] array(int n, double decayUs) {
        return extended(new DecayingValue[0], n, decayUs);
    }

    /** Extends an array to at least {@code n} elements; the given ones come first. */
    static DecayingValue[] extended(DecayingValue[] before, int n, double decayUs) {
        DecayingValue[] all = Arrays.copyOf(before, Math.max(before.length, n));
        for (int i = before.length; i < all.length; i++) {
            all[i] = new DecayingValue(decayUs);
        }
        return all;
    }

    double get(long now) {
        return decayed(value, updated, now, decayUs);
    }

    /** Adds a positive or negative step, clamped to 0 to {@code max}; returns the new value. */
    double add(double step, double max, long now) {
        set(Math.max(0, Math.min(max, get(now) + step)), now);
        return value;
    }

    /** Counts one event and returns the new count. */
    double count(long now) {
        return add(1, Double.MAX_VALUE, now);
    }

    /** Sets the decay time: the value falls to 1/e in this time, counted from its last update. */
    void setDecayUs(double us) {
        decayUs = us;
    }

    void set(double newValue, long now) {
        value = newValue;
        updated = now;
    }

    static double decayed(double value, long since, long now, double decayUs) {
        return value == 0 ? 0 : value * Math.exp((since - now) / decayUs);
    }
}
