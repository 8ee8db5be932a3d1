/** The program's entry point, which dispatches to the command that the first argument names. */
package holdproxy;
