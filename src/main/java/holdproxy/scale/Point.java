package holdproxy.scale;

/** One measured value at one size. */
record Point(double x, double y) {}
