/** The configuration of a proxy at a small deployment: classes and figures as the site has them. */
final class Settings {
    private Settings() {}

    static final String GRADES =
            grade("card-check", "pure", 500, 1500, 1)
                    + "," + grade("member-record", "pure", 600, 2000, 2)
                    + "," + grade("renewal", "token", 800, 4000, 10)
                    + "," + grade("enrolment", "side_effect", 1500, 3000, 10);

    static String grade(String name, String effect, int targetMs, int deadlineMs, int value) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"targetMs\":" + targetMs + ".0,\"deadlineMs\":" + deadlineMs
                + ".0,\"value\":" + value + ".0,\"group\":\"all\",\"lateWorth\":0.0,\"repeatWindowMs\":2500.0,\"stream\":false}";
    }

    static String config(String name, int port, int discovery, int sockets, String known, String grades) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                + "\"known\":" + known + ",\"settings\":{\"az\":0,\"balancers\":2,"
                + "\"caps\":{\"cpuUsPerRequest\":10.0,\"cpuUsPerS\":8000,\"dialTimeoutMs\":200.0,\"idleCloseMs\":30000.0,"
                + "\"maxAttempts\":3,\"maxRetryAfterMs\":2000.0,\"mayCancel\":true,\"multiplex\":100,\"openCap\":20000,"
                + "\"peers\":false,\"probing\":false,\"retryAfter\":false,\"secondCopies\":true},"
                + "\"clients\":{\"marksRetry\":true},\"countedBy\":\"request\","
                + "\"deductions\":{\"connection\":0.0,\"crossZone\":0.06,\"handshake\":0.0,\"lateFail\":0.05,\"moves\":0.0,"
                + "\"origin\":0.0,\"peer\":0.0,\"probe\":0.0,\"registryMode\":0.01,\"waste\":0.04},"
                + "\"domainType\":\"cache\",\"familyInfo\":{\"mode\":\"through\",\"notes\":\"off\",\"originFallMs\":3000.0,"
                + "\"originFallMultiple\":0.0,\"originKind\":-1},"
                + "\"grades\":[" + grades + "],\"index\":0,\"kinds\":[\"fast-1c\",\"std-1c\"],"
                + "\"localities\":[\"room-north\",\"room-south\"],\"overShareWorth\":0.1,\"registryMode\":\"subscribe\","
                + "\"reporting\":{\"fields\":[],\"source\":\"off\"},"
                + "\"rules\":{\"askWithinMs\":10000.0,\"coldFrom\":0.13,\"coldMs\":24000.0,\"drainGraceMs\":500.0,"
                + "\"fallMs\":2000.0,\"graceToAnswerMs\":20.0,\"tipMultiple\":4.0},"
                + "\"scoreParts\":{\"whole\":0.45,\"worstClass\":0.3,\"worstTenant\":0.1,\"worstWindow\":0.15},"
                + "\"stage\":0,\"tenants\":[{\"name\":\"baejarlaug\",\"quotaPerS\":42.0,\"share\":0.45},"
                + "{\"name\":\"ithrottafelagid\",\"quotaPerS\":34.0,\"share\":0.37},"
                + "{\"name\":\"golfklubbur\",\"quotaPerS\":17.0,\"share\":0.18}],"
                + "\"tickMs\":5.0,\"tiers\":[\"card-cache\"],\"weights\":\"off\"}}";
    }

    /** A read as clients send it. */
    static String get(String key, String id, String grade, int waitMs) {
        return "mg " + key + " v O" + id + " Pc=" + grade + ",t=baejarlaug,d=" + waitMs + "\r\n";
    }

    /** A write as clients send it. */
    static String set(String key, String id, String grade, int waitMs, String value) {
        return "ms " + key + " " + value.length() + " O" + id + " Pc=" + grade + ",t=baejarlaug,d=" + waitMs
                + (grade.equals("renewal") ? ",k=" + id : "") + "\r\n" + value + "\r\n";
    }

    /** A renewal as clients send it; a retry has the first try's idempotency key. */
    static String renewal(String key, String id, String token, boolean retry, int waitMs, String value) {
        return "ms " + key + " " + value.length() + " O" + id + " Pc=renewal,t=baejarlaug,d=" + waitMs + ",k=" + token
                + (retry ? ",r=1" : "") + "\r\n" + value + "\r\n";
    }
}
