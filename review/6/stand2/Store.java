package stand2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long rev, long createdRev, long lease) {
        String json() {
            String head = "{\"key\":" + Json.quote(key) + ",\"rev\":" + rev;
            if (value == null) return head + ",\"tombstone\":true}";
            return head + ",\"value\":\"" + value + "\",\"createdRev\":" + createdRev + ",\"lease\":" + lease + "}";
        }
    }

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;

    private final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Long> leaseEndsAt = new HashMap<>();
    private final Map<Long, Long> leaseTtl = new HashMap<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private long revision = 1;
    private long compacted;
    private long lastLease = 100;
    /** Status with which all calls of the system are answered, or 0. */
    volatile int forcedStatus;
    /** Whether calls of the system get no answer. */
    volatile boolean isSilent;

    Store() throws IOException {
        Lab.daemon(() -> {
            while (true) {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                open.add(accepted);
                Lab.daemon(() -> serve(accepted));
            }
        });
        Lab.daemon(() -> {
            while (true) {
                Thread.sleep(100);
                expireLeases();
            }
        });
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Writes as the operator or a worker does; the return is the store's confirmation. */
    synchronized long put(String key, String value) {
        return write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized long delete(String key) {
        return items.containsKey(key) ? write(key, null, 0) : revision;
    }

    private long write(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, ++revision, before == null ? revision : before.createdRev, lease);
        if (value == null) items.remove(key);
        else items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    private synchronized void expireLeases() {
        long now = System.currentTimeMillis();
        List<Long> ended = leaseEndsAt.entrySet().stream().filter(e -> e.getValue() <= now).map(Map.Entry::getKey).toList();
        for (long lease : ended) {
            leaseEndsAt.remove(lease);
            items.values().stream().filter(i -> i.lease == lease).map(Item::key).toList().forEach(key -> write(key, null, 0));
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Http call = Http.read(in, false, false); call != null; call = Http.read(in, false, false)) {
                if (isSilent) {
                    in.readAllBytes();
                    return;
                }
                String[] answer = forcedStatus != 0 ? new String[] {"" + forcedStatus, "{}"} : answer(call);
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        } finally {
            open.remove(connection);
        }
    }

    private String[] answer(Http call) throws Exception {
        String[] parts = call.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                String[] pieces = pair.split("=", 2);
                query.put(pieces[0], URLDecoder.decode(pieces[1], StandardCharsets.UTF_8));
            }
        }
        String path = parts[0];
        if (path.equals("/kv-watch")) return watch(query);
        synchronized (this) {
            if (path.equals("/kv-key")) return key(query.get("key"));
            if (path.equals("/kv-range")) return range(query);
            if (path.equals("/kv-txn")) return transaction(call);
            if (path.equals("/kv-lease")) return lease(call);
            if (path.startsWith("/kv-keep/")) return keep(Long.parseLong(path.substring(9)));
            return new String[] {"404", "{}"};
        }
    }

    private String[] key(String key) {
        Item item = items.get(key);
        if (item == null) return new String[] {"404", "{\"storeRevision\":" + revision + "}"};
        String json = item.json();
        return new String[] {"200", json.substring(0, json.length() - 1) + ",\"storeRevision\":" + revision + "}"};
    }

    private String[] range(Map<String, String> query) {
        String prefix = query.get("prefix");
        String after = query.get("after");
        StringBuilder found = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        for (Item item : items.values()) {
            if (!item.key.startsWith(prefix) || (after != null && item.key.compareTo(after) <= 0)) continue;
            if (count >= PAGE_ITEMS || (count > 0 && found.length() + item.value.length() > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            found.append(count++ == 0 ? "" : ",").append(item.json());
        }
        return new String[] {"200", "{\"items\":[" + found + "],\"hasMore\":" + hasMore + ",\"storeRevision\":" + revision + "}"};
    }

    private String[] watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        String prefix = query.get("prefix");
        synchronized (this) {
            while (true) {
                if (after < compacted) return new String[] {"410", "{}"};
                List<String> events = history.stream().filter(i -> i.rev > after && i.key.startsWith(prefix)).map(Item::json).toList();
                long left = end - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0) {
                    return new String[] {"200", "{\"events\":[" + String.join(",", events) + "],\"storeRevision\":" + revision + "}"};
                }
                wait(left);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private String[] transaction(Http call) {
        Map<String, Object> body = (Map<String, Object>) Json.parse(new String(call.body, StandardCharsets.UTF_8));
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expected", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) body.getOrDefault("puts", List.of());
        List<String> deletes = (List<String>) body.getOrDefault("deletes", List.of());
        boolean holds = expected.stream().allMatch(e -> {
            Item item = items.get((String) e.get("key"));
            return (item == null ? 0 : item.rev) == (Long) e.get("rev");
        });
        if (!holds) {
            List<String> current = expected.stream().map(e -> items.get((String) e.get("key"))).filter(i -> i != null).map(Item::json).toList();
            return new String[] {"412", "{\"items\":[" + String.join(",", current) + "]}"};
        }
        for (Map<String, Object> put : puts) {
            long lease = put.get("lease") == null ? 0 : (Long) put.get("lease");
            if (lease != 0 && !leaseEndsAt.containsKey(lease)) return new String[] {"404", "{}"};
        }
        puts.forEach(p -> write((String) p.get("key"), (String) p.get("value"), p.get("lease") == null ? 0 : (Long) p.get("lease")));
        deletes.forEach(key -> write(key, null, 0));
        return new String[] {"200", "{\"rev\":" + revision + "}"};
    }

    @SuppressWarnings("unchecked")
    private String[] lease(Http call) {
        long ttl = (Long) ((Map<String, Object>) Json.parse(new String(call.body, StandardCharsets.UTF_8))).get("ttlMs");
        leaseTtl.put(++lastLease, ttl);
        leaseEndsAt.put(lastLease, System.currentTimeMillis() + ttl);
        return new String[] {"200", "{\"lease\":" + lastLease + ",\"ttlMs\":" + ttl + "}"};
    }

    private String[] keep(long lease) {
        if (!leaseEndsAt.containsKey(lease)) return new String[] {"404", "{}"};
        leaseEndsAt.put(lease, System.currentTimeMillis() + leaseTtl.get(lease));
        return new String[] {"200", "{\"ttlMs\":" + leaseTtl.get(lease) + "}"};
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
