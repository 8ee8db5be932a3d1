/**
 * Measurements of how each part of a fleet grows: thousands of hollow proxies, which run the control code and
 * no data path, beside a few real ones; slopes by least squares, and the tables of {@code docs/CAPACITY.md}.
 */
package holdproxy.scale;
