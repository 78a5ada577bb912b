import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One entry of the project, started with the command and the template of settings of the deploy file. */
final class Entry {
    static final int DESCRIPTORS = 4_100;
    final String name;
    final String caller;
    final String readiness;
    private final Path folder;
    private final Path settings;
    private Process process;

    Entry(String name, Path folder, String store, String machines, String advisor) throws IOException {
        this.name = name;
        this.folder = folder;
        int[] ports = new int[4];
        ServerSocket[] sockets = new ServerSocket[ports.length];
        for (int i = 0; i < ports.length; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        caller = "127.0.0.1:" + ports[0];
        readiness = "127.0.0.1:" + ports[1];
        Map<String, String> values = Map.ofEntries(
            Map.entry("NodeName|json", "\"" + name + "\""),
            Map.entry("Zone|json", "\"zone-a\""),
            Map.entry("ListenAddresses.Frontend|json", "\"" + caller + "\""),
            Map.entry("ListenAddresses.Readiness|json", "\"" + readiness + "\""),
            Map.entry("IpAddress", "127.0.0.1"),
            Map.entry("InternalPortRange.0", "" + ports[2]),
            Map.entry("platform.Address|json", "\"" + store + "\""),
            Map.entry("CloudApi.Address", machines),
            Map.entry("Advisor", advisor),
            Map.entry("Bounds.HoldMaxMs", "6000"),
            Map.entry("Limits.CpuShare", "0.75"),
            Map.entry("Limits.CpuCores", "1"),
            Map.entry("CloudApi.DutyPerS", "64.0"));
        Matcher matcher = Pattern.compile("\\{\\{(.*?)}}").matcher(Files.readString(Path.of("deploy/entry.toml")));
        // The metrics address has a fixed port, which several entries on one address can't share.
        String text = matcher.replaceAll(found -> values.get(found.group(1))).replace(":9464", ":" + ports[3]);
        settings = folder.resolve(name + ".toml");
        Files.writeString(settings, text);
    }

    synchronized void start() throws IOException {
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        List<String> words = new ArrayList<>(List.of(run.split(" ")));
        // The descriptors that the platform gives to a process (FileDescriptors in the settings).
        ProcessBuilder builder =
            new ProcessBuilder("sh", "-c", "ulimit -n " + DESCRIPTORS + " && exec " + String.join(" ", words));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("VERBENAGAUGE_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Number of descriptors that the process holds. */
    synchronized long descriptors() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return files.count();
        }
    }

    synchronized int exitCode() {
        return process.exitValue();
    }

    /** Ends the process at once. */
    synchronized void kill() throws InterruptedException {
        if (process != null) process.destroyForcibly().waitFor();
    }

    boolean logHas(String text) throws IOException {
        Path log = folder.resolve(name + ".log");
        return Files.exists(log) && Files.readString(log).contains(text);
    }
}
