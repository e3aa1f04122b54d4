package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: keys, ranges, watches, transactions and leases, as PROTOCOL.md describes them. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long rev, long createdRev, long lease) {}

    private static final int PAGE = 500;
    private static final int PAGE_BYTES = 1_048_576;
    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 100;
    private boolean isClosed;
    final int port;

    Store() throws IOException {
        port = Ports.free("127.0.0.1");
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
    }

    /** Writes as the operator or a worker does; the return is the confirmation. */
    synchronized long put(String key, String value) {
        return write(key, value, 0);
    }

    synchronized long delete(String key) {
        return write(key, null, 0);
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    @Override
    public void close() {
        synchronized (this) {
            isClosed = true;
            notifyAll();
        }
        server.stop(0);
    }

    private long write(String key, String value, long lease) {
        Item known = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, known == null ? revision : known.createdRev, lease);
        if (value == null) items.remove(key);
        else items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    private void expireLeases() {
        long now = System.currentTimeMillis();
        List<Long> ended = leases.entrySet().stream().filter(e -> e.getValue()[0] < now).map(Map.Entry::getKey).toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long lease) {
        leases.remove(lease);
        items.values().stream().filter(item -> item.lease == lease).map(Item::key).toList().forEach(key -> write(key, null, 0));
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (path.equals("/kv-watch")) watch(exchange, query);
        else answer(exchange, path, query, body);
    }

    private void answer(HttpExchange exchange, String path, Map<String, String> query, String body) throws IOException {
        int status = 200;
        String answer = "{}";
        synchronized (this) {
            expireLeases();
            if (path.equals("/kv-range")) {
                answer = range(query.getOrDefault("prefix", ""), query.get("after"));
            } else if (path.equals("/kv-key")) {
                Item item = items.get(query.get("key"));
                status = item == null ? 404 : 200;
                answer = item == null ? "{\"storeRevision\":" + revision + "}" : json(item);
            } else if (path.equals("/kv-txn")) {
                String[] result = transaction(Json.object(body));
                status = Integer.parseInt(result[0]);
                answer = result[1];
            } else if (path.equals("/kv-lease")) {
                long ttl = (Long) Json.object(body).get("ttlMs");
                leases.put(++lastLease, new long[] {System.currentTimeMillis() + ttl, ttl});
                answer = "{\"lease\":" + lastLease + ",\"ttlMs\":" + ttl + "}";
            } else if (path.startsWith("/kv-keep/")) {
                long[] lease = leases.get(Long.parseLong(path.substring(9)));
                if (lease == null) status = 404;
                else {
                    lease[0] = System.currentTimeMillis() + lease[1];
                    answer = "{\"ttlMs\":" + lease[1] + "}";
                }
            } else if (path.startsWith("/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring(14)));
            } else {
                status = 404;
            }
        }
        reply(exchange, status, answer);
    }

    private String range(String prefix, String after) {
        List<Item> found = items.values().stream()
            .filter(item -> item.key.startsWith(prefix) && (after == null || item.key.compareTo(after) > 0)).toList();
        List<String> page = new ArrayList<>();
        int bytes = 0;
        for (Item item : found) {
            bytes += item.value.length();
            if (page.size() == PAGE || (!page.isEmpty() && bytes > PAGE_BYTES)) break;
            page.add(json(item));
        }
        return "{\"items\":[" + String.join(",", page) + "],\"hasMore\":" + (found.size() > page.size()) + ",\"storeRevision\":" + revision + "}";
    }

    @SuppressWarnings("unchecked")
    private String[] transaction(Map<String, Object> body) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expected", List.of());
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("key"));
            if ((item == null ? 0 : item.rev) != (Long) row.get("rev")) {
                List<String> current = expected.stream().map(e -> items.get((String) e.get("key"))).filter(i -> i != null)
                    .map(Store::json).toList();
                return new String[] {"412", "{\"items\":[" + String.join(",", current) + "]}"};
            }
        }
        for (Map<String, Object> put : (List<Map<String, Object>>) body.getOrDefault("puts", List.of())) {
            long lease = put.get("lease") == null ? 0 : (Long) put.get("lease");
            if (lease != 0 && !leases.containsKey(lease)) return new String[] {"404", "{}"};
            write((String) put.get("key"), new String(Base64.getDecoder().decode((String) put.get("value")), StandardCharsets.UTF_8), lease);
        }
        for (Object key : (List<Object>) body.getOrDefault("deletes", List.of())) write((String) key, null, 0);
        return new String[] {"200", "{\"rev\":" + revision + "}"};
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        String answer;
        synchronized (this) {
            List<String> events;
            while (true) {
                expireLeases();
                events = history.stream().filter(item -> item.rev > after && item.key.startsWith(prefix)).map(Store::json).toList();
                long left = end - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0 || isClosed) break;
                try {
                    wait(Math.min(left, 200));
                } catch (InterruptedException e) {
                    return;
                }
            }
            answer = "{\"events\":[" + String.join(",", events) + "],\"storeRevision\":" + revision + "}";
        }
        reply(exchange, 200, answer);
    }

    private static String json(Item item) {
        if (item.value == null) return "{\"key\":" + Json.quote(item.key) + ",\"rev\":" + item.rev + ",\"tombstone\":true}";
        return "{\"key\":" + Json.quote(item.key) + ",\"value\":\""
            + Base64.getEncoder().encodeToString(item.value.getBytes(StandardCharsets.UTF_8)) + "\",\"rev\":" + item.rev
            + ",\"createdRev\":" + item.createdRev + ",\"lease\":" + item.lease + "}";
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw == null) return query;
        for (String part : raw.split("&")) {
            int at = part.indexOf('=');
            query.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void reply(HttpExchange exchange, int status, String answer) throws IOException {
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
