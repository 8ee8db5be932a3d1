package holdproxy.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One quantity of one role, measured at several sizes.
 *
 * @param role role that it was measured at
 * @param quantity name of what was measured
 * @param unit of the values
 * @param variable what the sizes count
 * @param mechanism protocol or method that was measured
 * @param target value of the variable in the target fleet
 * @param budget limit at the target, in the same unit; {@code NaN} if none is stated
 * @param points measured points
 */
record Series(
        String role,
        String quantity,
        String unit,
        String variable,
        String mechanism,
        double target,
        double budget,
        List<Point> points) {
    Series {
        points = new ArrayList<>(points);
    }

    static Series of(
            String role,
            String quantity,
            String unit,
            String variable,
            String mechanism,
            double target,
            double budget) {
        return new Series(role, quantity, unit, variable, mechanism, target, budget, List.of());
    }

    void add(double x, double y) {
        points.add(new Point(x, y));
    }

    Fit fit() {
        return Fit.of(points);
    }

    double largest() {
        return points.stream().mapToDouble(Point::x).max().orElse(0);
    }

    Map<String, Object> json() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("role", role);
        json.put("quantity", quantity);
        json.put("unit", unit);
        json.put("variable", variable);
        json.put("mechanism", mechanism);
        json.put("target", target);
        json.put("budget", Double.isNaN(budget) ? null : budget);
        json.put("points", points.stream().map(p -> List.of(p.x(), p.y())).toList());
        return json;
    }

    static Series read(JsonPart json) {
        Series series =
                of(
                        json.text("role"),
                        json.text("quantity"),
                        json.text("unit"),
                        json.text("variable"),
                        json.text("mechanism"),
                        json.number("target"),
                        json.numberOr("budget", Double.NaN));
        for (Object pair : json.list("points")) {
            if (!(pair instanceof List<?> xy)
                    || xy.size() != 2
                    || !(xy.get(0) instanceof Number x)
                    || !(xy.get(1) instanceof Number y)) {
                throw json.bad("points", "has an entry that is no pair of numbers: " + pair);
            }
            series.add(x.doubleValue(), y.doubleValue());
        }
        return series;
    }
}
