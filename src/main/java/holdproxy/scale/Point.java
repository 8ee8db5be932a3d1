package holdproxy.scale;

/** A measured value y at size x. */
record Point(double x, double y) {}
