/** Shared by the commands: exit codes, error messages and plots. */
package holdproxy.command;
