/** The program: picks the command that the first argument names. */
package holdproxy;
