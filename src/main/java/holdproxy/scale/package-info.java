/**
 * Measures how the cost of each role grows with the size of the fleet. Runs thousands of hollow proxies,
 * which execute the real control code without a data path, beside a few real ones; fits lines by least
 * squares and prints the tables of {@code docs/CAPACITY.md}.
 */
package holdproxy.scale;
