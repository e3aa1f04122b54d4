package stand2;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry host: the command `run` of the deploy file, with the settings that the platform renders for a small deployment. */
final class Host implements AutoCloseable {
    final String name;
    final String ip;
    final String zone;
    final String region;
    final int callers;
    final int ready;
    final int directory;
    private final File log;
    private final Path settings;
    private Process process;

    Host(Lab lab, int number, String zone, String region) throws IOException {
        this.name = "front-" + zone + "-" + number;
        this.ip = "127.0.1." + number;
        this.zone = zone;
        this.region = region;
        this.callers = lab.callersPort;
        this.ready = lab.readyPort;
        this.directory = lab.directoryPort;
        this.log = new File(lab.folder.toFile(), name + ".log");
        this.settings = lab.folder.resolve(name + ".ini");
        List<String> zones = new ArrayList<>();
        lab.zones.forEach((z, r) -> zones.add(z + " = " + r));
        Files.writeString(settings, """
            [host]
            id = %s
            ip = %s
            region = %s
            availability-zone = %s
            [listen]
            callers = %s:%d
            readiness = %s:%d
            directory = %s:%d
            peer-calls = %s:%d
            peer-report-port = %d
            max-descriptors = 4100
            [peers]
            seeds = %s
            [store]
            address = %s
            recovery-ms = 4000
            [availability-zones]
            %s
            [directory]
            max-ttl-s = 5
            [stop]
            within-s = %d
            [retries]
            ratio = 0.2
            reserve = 62
            window-s = 10
            [cold-workers]
            over = 1.5
            slack = 5
            [capacity]
            cpu-share = 0.6
            core-speed = 1
            link-mbps = 1000.0
            memory-mb = 430
            """.formatted(name, ip, region, zone, ip, callers, ip, ready, ip, directory, ip, lab.peerPort, lab.reportPort,
            lab.seeds, lab.store.address(), String.join("\n", zones), lab.graceS));
    }

    void start() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream().filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.split(" ")));
        builder.environment().put("KUMQUATMILL_CONFIG", settings.toString());
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    boolean isReady() {
        try (Client client = new Client(ip, ready)) {
            return client.send("GET", "/readiness", "", new byte[0]).status() == 200;
        } catch (Exception e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    int exitStatus() {
        return process.exitValue();
    }

    /** Sends a signal to this process alone, such as "TERM", "STOP" or "CONT". */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    }

    boolean awaitEnd(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    List<String> logLines() throws IOException {
        return Files.readAllLines(log.toPath());
    }

    @Override
    public void close() {
        if (process != null) process.destroyForcibly();
    }
}
