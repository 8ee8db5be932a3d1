package holdproxy.emulator;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The configuration of a proxy of an emulated site, in the platform's JSON form.
 *
 * @param index of the proxy
 * @param proxies number of proxies in the site
 * @param zone index of the proxy's zone
 * @param zones names of all zones
 * @param coldFrom part of its speed that a node has right after its start
 * @param coldS seconds from a node's start to full speed
 * @param clubs tenants' shares of the load
 * @param quotaPerS quota of all clubs together, in requests a second
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
    /** How long repeats of a keyed write are dropped, in microseconds. */
    public static final long REPEAT_WINDOW_US = 2_500_000;

    public static final int MAX_ATTEMPTS = 3;

    /** A node list without nodes. */
    public static final String EMPTY_NODE_LIST = "{\"version\":0,\"full\":true,\"servers\":[]}";

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

    /** The names of the first {@code count} clubs. */
    public static List<String> clubNames(int count) {
        return IntStream.range(0, count).mapToObj(i -> "club-" + i).toList();
    }

    /** The whole configuration, with {@code known} as the node list and at most this many attempts. */
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
        String localities =
                zones.stream().map(z -> "\"" + z + "\"").collect(Collectors.joining(","));
        String settings =
                SETTINGS.formatted(
                        index,
                        proxies,
                        zone,
                        attempts,
                        grades(),
                        localities,
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
                                        + c.targetMs()
                                        + ".0,\"deadlineMs\":"
                                        + c.deadlineMs()
                                        + ".0,\"lateWorth\":0.0,\"repeatWindowMs\":"
                                        + (c.effect().equals("token") ? REPEAT_WINDOW_US / 1000 : 0)
                                        + ",\"stream\":false,\"value\":"
                                        + c.value()
                                        + "}")
                .collect(Collectors.joining(","));
    }
}
