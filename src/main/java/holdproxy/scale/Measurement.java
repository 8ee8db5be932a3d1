package holdproxy.scale;

/** Measures one part of the program at each size of a {@link MeasureSpec}. */
interface Measurement {
    void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception;
}
