import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry: the program of the deploy file as a process, with settings made from its template. */
final class Entry {
    final String name;
    final String host;
    final int callerPort;
    final int readinessPort;
    private final Path folder;
    private final List<String> command = new ArrayList<>();
    Process process;

    Entry(Path root, Path folder, String name, String host, String store, String cloud) throws IOException {
        this.name = name;
        this.host = host;
        this.folder = folder;
        callerPort = freePort(host);
        readinessPort = freePort(host);
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?s)\\[roles\\.[^\\]]*\\].*?\\nrun = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) throw new IOException("deploy/system.toml has no run");
        command.addAll(List.of(run.group(1).split(" ")));
        String settings = Files.readString(root.resolve("deploy/entry.toml"))
            .replace("{{NodeName|json}}", quote(name))
            .replace("{{Zone|json}}", quote("zone-a"))
            .replace("{{ListenAddresses.Frontend|json}}", quote(host + ":" + callerPort))
            .replace("{{ListenAddresses.Readiness|json}}", quote(host + ":" + readinessPort))
            .replace("{{IpAddress}}:{{InternalPortRange.0}}", host + ":" + freePort(host))
            .replace("{{IpAddress}}", host)
            .replace("{{platform.Address|json}}", quote(store))
            .replace("{{CloudApi.Address}}", cloud)
            .replace("{{Advisor}}", "")
            .replace("{{Bounds.HoldMaxMs}}", "6000")
            .replace("{{Limits.CpuShare}}", "0.75")
            .replace("{{Limits.CpuCores}}", "1")
            .replace("{{CloudApi.DutyPerS}}", "64.0");
        if (settings.contains("{{")) throw new IOException("unknown placeholder in deploy/entry.toml: " + settings);
        Files.writeString(folder.resolve(name + ".toml"), settings);
    }

    private static String quote(String text) {
        return '"' + text + '"';
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    void start(Path root) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().put("VERBENAGAUGE_NODE_FILE", folder.resolve(name + ".toml").toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    void kill() {
        if (process != null) process.destroyForcibly();
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
}
