package review;

import java.nio.file.Path;
import java.util.List;

/**
 * Two tenants with a key each. The operator takes away the key of one, and then that of the other, so that no tenant has a key. Without
 * trouble it takes away only the first one. Clients go on to send orders with both keys, and one sends a key that never existed.
 */
public final class KeysWithdrawn extends Case {
    private static final int CONFIG_APPLY_MS = 2_500;

    public static void main(String[] args) {
        Case.main(new KeysWithdrawn(), Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        startFleet(2, Desired.state(1, 1_000, Desired.tenant("kaje80", "key-1"), Desired.tenant("mulo17", "key-2")),
            List.of(new Worker("w1", Desired.SERVICE, "casa-a"), new Worker("w2", Desired.SERVICE, "fes-a")));
        sleep(5_000);
        sendAll("before");
        store.put("op/config", Desired.state(4, 1_000, Desired.tenant("kaje80"), Desired.tenant("mulo17", "key-2")));
        note("confirmed: version 4 without key-1");
        sleep(CONFIG_APPLY_MS + 500);
        int broken = sendAll("v4", "key-1", "never-a-key");
        if (hasTrouble) {
            store.put("op/config", Desired.state(7, 1_000, Desired.tenant("kaje80"), Desired.tenant("mulo17")));
            note("confirmed: version 7 without key-2, the last one");
            sleep(CONFIG_APPLY_MS + 500);
            broken += sendAll("v7", "key-1", "key-2", "never-a-key");
            sleep(10_000);
            broken += sendAll("v7-10s-later", "key-1", "key-2", "never-a-key");
        }
        note(broken + " requests ran though their key was taken away or never existed");
        return broken > 0 ? BROKEN : HELD;
    }

    /** Sends five orders with each key to each host; returns how many ran with a key that is among [invalid]. */
    private int sendAll(String phase, String... invalid) throws Exception {
        int broken = 0;
        for (Host host : hosts) {
            for (String key : List.of("key-1", "key-2", "never-a-key")) {
                for (int i = 0; i < 5; i++) {
                    String id = phase + "-" + host.name + "-" + key + "-" + i;
                    Http answer = send(host, head("POST", Desired.UNSAFE + "order", id, key, 1_000, 0), new byte[0], 3_000);
                    List<Worker.Run> runs = runs().stream().filter(run -> run.id().equals(id)).toList();
                    boolean isInvalid = List.of(invalid).contains(key);
                    if (isInvalid && !runs.isEmpty()) broken++;
                    if (i == 0) {
                        note(phase + ": " + host.name + " with " + key + " answers " + describe(answer)
                            + (runs.isEmpty() ? ", not run" : ", run with Tenant-Name " + runs.get(0).tenant()) + (isInvalid ? " (key not in force)" : ""));
                    }
                }
            }
        }
        return broken;
    }
}
