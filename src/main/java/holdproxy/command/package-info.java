/** What the command lines share: exit codes and error messages. */
package holdproxy.command;
