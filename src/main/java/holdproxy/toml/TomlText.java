package holdproxy.toml;

/** Formats values as TOML that {@link TomlSection} reads back unchanged. */
public final class TomlText {
    private TomlText() {}

    /** Quotes and escapes a one-line string. */
    public static String quoted(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
