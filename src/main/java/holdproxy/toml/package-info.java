/** Reading and writing TOML: checked values, with file and line in every error. */
package holdproxy.toml;
