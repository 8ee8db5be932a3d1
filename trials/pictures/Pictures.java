import java.util.Map;

/** Plays the pictures that operators of other deployments reported. */
public final class Pictures {
    private static final Map<String, Rig.Case> PICTURES =
            Map.of(
                    "memory", (rig, trouble) -> new Memory(rig, trouble).run(),
                    "flood", (rig, trouble) -> new Flood(rig, trouble).run(),
                    "leave", (rig, trouble) -> new Leave(rig, trouble).run(),
                    "slow", (rig, trouble) -> new Slow(rig, trouble).run());

    /** What to play of a picture. */
    static String variant;

    private Pictures() {}

    public static void main(String[] arguments) {
        variant = arguments[1];
        Rig.main(PICTURES.get(arguments[0]));
    }
}
