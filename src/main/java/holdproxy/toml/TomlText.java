package holdproxy.toml;

/** What is written so that {@link TomlPart} reads it as it was. */
public final class TomlText {
    private TomlText() {}

    /** A text on one line, in its quotes. */
    public static String quoted(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
