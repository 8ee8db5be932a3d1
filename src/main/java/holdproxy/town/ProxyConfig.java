package holdproxy.town;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * What a proxy of a town is configured with, as the platform words it.
 *
 * @param index of the proxy
 * @param proxies in the town
 * @param zone its own
 * @param zones the names of all
 * @param coldFrom part of its speed that a node has at its start
 * @param coldS seconds until it has all of it
 * @param clubs tenants' shares of the load
 * @param quotaPerS requests a second that all clubs together may ask for
 */
public record ProxyConfig(
        int index,
        int proxies,
        int zone,
        List<String> zones,
        double coldFrom,
        double coldS,
        List<Double> clubs,
        double quotaPerS) {
    /** A keyed write's repeats are dropped for so long, in microseconds. */
    public static final long REPEATS_DROPPED_US = 2_500_000;

    public static final int ATTEMPTS = 3;

    /** No node is known. */
    public static final String NO_LIST = "{\"version\":0,\"full\":true,\"servers\":[]}";

    private static final String SETTINGS =
            """
{"index":%d,"balancers":%d,"az":%d,"domainType":"cache",
 "familyInfo":{"mode":"through","originKind":-1},
 "caps":{"dialTimeoutMs":200.0,"idleCloseMs":30000.0,"maxAttempts":%d,"maxRetryAfterMs":2000.0,
  "mayCancel":true,"multiplex":1,"openCap":20000,"peers":false,"probing":false,"retryAfter":false,
  "secondCopies":true},
 "grades":[%s],
 "kinds":["fast-1c","std-1c"],"localities":[%s],"registryMode":"subscribe",
 "reporting":{"fields":[],"source":"off"},
 "rules":{"askWithinMs":1000.0,"coldFrom":%s,"coldMs":%s,"drainGraceMs":500.0,"fallMs":2000.0,
  "graceToAnswerMs":0.0,"tipMultiple":4.0},
 "tenants":[%s],"tickMs":5.0,"weights":"off"}
""";

    /** The names of so many clubs. */
    public static List<String> clubNames(int count) {
        return IntStream.range(0, count).mapToObj(i -> "club-" + i).toList();
    }

    /** The whole configuration with so many attempts. */
    public String json(String name, long seed, String known, int attempts) {
        List<String> names = clubNames(clubs.size());
        String tenants =
                IntStream.range(0, names.size())
                        .mapToObj(
                                i ->
                                        "{\"name\":\""
                                                + names.get(i)
                                                + "\",\"quotaPerS\":"
                                                + quotaPerS * clubs.get(i)
                                                + ",\"share\":"
                                                + clubs.get(i)
                                                + "}")
                        .collect(Collectors.joining(","));
        String rooms = zones.stream().map(z -> "\"" + z + "\"").collect(Collectors.joining(","));
        String settings =
                SETTINGS.formatted(
                        index,
                        proxies,
                        zone,
                        attempts,
                        grades(),
                        rooms,
                        coldFrom,
                        coldS * 1000,
                        tenants);
        return "{\"name\":\""
                + name
                + "\",\"seed\":\""
                + Long.toHexString(seed)
                + "\",\"limits\":{\"sockets\":1024},\"known\":"
                + known
                + ",\"settings\":"
                + settings
                + "}";
    }

    private static String grades() {
        return RequestClass.ALL.stream()
                .map(
                        c ->
                                "{\"name\":\""
                                        + c.name()
                                        + "\",\"effect\":\""
                                        + c.effect()
                                        + "\",\"group\":\"all\",\"targetMs\":"
                                        + c.aimMs()
                                        + ".0,\"deadlineMs\":"
                                        + c.deadlineMs()
                                        + ".0,\"lateWorth\":0.0,\"repeatWindowMs\":"
                                        + (c.effect().equals("token")
                                                ? REPEATS_DROPPED_US / 1000
                                                : 0)
                                        + ",\"stream\":false,\"value\":"
                                        + c.worth()
                                        + "}")
                .collect(Collectors.joining(","));
    }
}
