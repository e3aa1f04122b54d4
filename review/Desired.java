package review;

/** Desired states with one route that is safe and one that is not, to one service. */
final class Desired {
    static final String SAFE = "/lohu930/";
    static final String UNSAFE = "/pufi791/";
    static final String SERVICE = "huvo11a";

    private Desired() {}

    static String state(int version, int timeoutMs, String... tenants) {
        return "{\"version\":" + version + ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[" + String.join(",", tenants) + "],\"listeners\":[{\"host\":\"" + Case.HOST_NAME
            + "\",\"rules\":[" + rule("r-427eya6", "unsafe", 400, UNSAFE, timeoutMs) + "," + rule("r-puxsr7i", "safe", 300, SAFE, timeoutMs)
            + "]}],\"clusters\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldS\":3.0,\"coldPerS\":13.0}]}";
    }

    /** A tenant without a limit. */
    static String tenant(String name, String... keys) {
        StringBuilder list = new StringBuilder();
        for (String key : keys) list.append(list.isEmpty() ? "" : ",").append(Json.quote(key));
        return "{\"name\":" + Json.quote(name) + ",\"apiKeys\":[" + list + "],\"priority\":1,\"ratePerS\":0,\"burst\":0,\"homeRegions\":[]}";
    }

    private static String rule(String name, String kind, int targetMs, String prefix, int timeoutMs) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"targetLatencyMs\":" + targetMs + ",\"priority\":1,\"authExempt\":false,"
            + "\"sticky\":true,\"match\":{\"prefix\":\"" + prefix + "\"},\"action\":{\"service\":\"" + SERVICE + "\",\"timeoutMs\":" + timeoutMs
            + ",\"maxAttempts\":2,\"homeRegions\":[]}}";
    }
}
