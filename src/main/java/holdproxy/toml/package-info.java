/** Reading and writing TOML; reading checks values and reports errors with file and line. */
package holdproxy.toml;
