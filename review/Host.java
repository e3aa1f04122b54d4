package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry host: a process of its own, started with the command of the deploy file in the root of the repository. */
final class Host {
    final String name;
    final String ip;
    final String zone;
    final int callers;
    final int readiness;
    final int directory;
    final File log;
    private final Path settings;
    Process process;

    /** Ports that are the same on all machines. */
    record SharedPorts(int control, int reports) {
        static SharedPorts choose() {
            return new SharedPorts(Ports.free("127.0.0.1"), Ports.free("127.0.0.1"));
        }
    }

    Host(String name, String ip, String zone, SharedPorts shared, List<String> seeds, int storePort, Path folder) throws IOException {
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        callers = Ports.free(ip);
        readiness = Ports.free(ip);
        directory = Ports.free(ip);
        log = folder.resolve(name + ".log").toFile();
        settings = folder.resolve(name + ".ini");
        // The template platform/settings.ini, filled in as for a small installation.
        Files.writeString(settings, String.join("\n",
            "[host]", "id = " + name, "ip = " + ip, "region = " + region(zone), "availability-zone = " + zone,
            "[listen]", "callers = " + ip + ":" + callers, "readiness = " + ip + ":" + readiness, "directory = " + ip + ":" + directory,
            "peer-calls = " + ip + ":" + shared.control, "peer-report-port = " + shared.reports, "metrics-port = " + Ports.free(ip),
            "max-descriptors = 4100",
            "[peers]", "seeds = " + String.join(",", seeds.stream().map(seed -> seed + ":" + shared.control).toList()),
            "[store]", "address = 127.0.0.1:" + storePort, "recovery-ms = 4000",
            "[availability-zones]", "casa-a = casablanca", "fes-a = fes", "mrk-a = marrakech", "casa-b = casablanca", "fes-b = fes",
            "mrk-b = marrakech",
            "[directory]", "max-ttl-s = 5", "[stop]", "within-s = 6",
            "[retries]", "ratio = 0.2", "reserve = 62", "window-s = 10", "[cold-workers]", "over = 1.5", "slack = 5", ""));
    }

    static String region(String zone) {
        return zone.startsWith("casa") ? "casablanca" : zone.startsWith("fes") ? "fes" : "marrakech";
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("KUMQUATMILL_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    /** The words of `run` in the deploy file. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no run line");
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                (HttpURLConnection) URI.create("http://" + ip + ":" + readiness + "/readiness").toURL().openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            try {
                return connection.getResponseCode() == 200;
            } finally {
                connection.disconnect();
            }
        } catch (IOException e) {
            return false;
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    void end() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
