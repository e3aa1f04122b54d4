package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Another writer leaves 48 entries of 1 MB each, which can't be read, among those of the workers. The operator then replaces a key. Later the
 * odd entries are removed, and the operator changes nothing more. Without trouble there are no odd entries.
 */
public final class OddEntries extends Case {
    private static final int COUNT = 48;
    private static final int BYTES = 1_000_000;
    private static final int CONFIG_APPLY_MS = 2_500;

    public static void main(String[] args) {
        Case.main(new OddEntries(), Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        startFleet(2, Desired.state(1, 1_000, Desired.tenant("kaje80", "key-1")),
            List.of(new Worker("w1", Desired.SERVICE, "casa-a"), new Worker("w2", Desired.SERVICE, "fes-a")));
        sleep(5_000);
        if (hasTrouble) {
            String unreadable = "\u0001x".repeat(BYTES / 2);
            for (int i = 0; i < COUNT; i++) {
                store.put("servers/odd-" + i, unreadable);
                sleep(100);
            }
            note(COUNT + " odd entries of " + BYTES + " bytes are in the store");
        }
        sleep(5_000);
        store.put("op/config", Desired.state(4, 1_000, Desired.tenant("kaje80", "key-2")));
        note("confirmed: version 4 with key-2 in place of key-1");
        sleep(CONFIG_APPLY_MS + 1_000);
        int broken = sendAll("v4");
        if (hasTrouble) {
            for (int i = 0; i < COUNT; i++) store.delete("servers/odd-" + i);
            note("the odd entries are removed");
        }
        sleep(20_000);
        broken += sendAll("v4-20s-later");
        for (Host host : hosts) {
            note(host.name + ": ready " + host.isReady() + ", lines of its log with OutOfMemoryError: "
                + Files.readAllLines(host.log.toPath()).stream().filter(line -> line.contains("OutOfMemoryError")).count());
        }
        note(broken + " requests were handled as only version 1 allows");
        return broken > 0 ? BROKEN : HELD;
    }

    /** Sends five orders with each key to each host; returns how many ran with the old key or were refused with the new one. */
    private int sendAll(String phase) throws IOException {
        int broken = 0;
        for (Host host : hosts) {
            for (String key : List.of("key-1", "key-2")) {
                for (int i = 0; i < 5; i++) {
                    String id = phase + "-" + host.name + "-" + key + "-" + i;
                    Http answer = send(host, head("POST", Desired.UNSAFE + "order", id, key, 1_000, 0), new byte[0], 3_000);
                    boolean hasRun = runs().stream().anyMatch(run -> run.id().equals(id));
                    boolean isAsOld = key.equals("key-1") ? hasRun : answer != null && answer.status() == 401;
                    if (isAsOld) broken++;
                    if (i == 0) note(phase + ": " + host.name + " with " + key + " answers " + describe(answer) + (hasRun ? ", run" : ", not run"));
                }
            }
        }
        return broken;
    }
}
