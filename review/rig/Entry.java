import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One entry: the program of the deploy file as a process of its own, with settings made from the template. */
final class Entry {
    final String id;
    final Http store;
    final String callers;
    private final String readiness;
    private final List<String> command = new ArrayList<>();
    private final Path settings;
    private final Path output;
    private Process process;

    Entry(int index, Http store, Path folder, String advisor, String machines) throws IOException {
        id = "entry-" + index;
        this.store = store;
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < 4; i++) sockets.add(new ServerSocket(0, 1, InetAddress.getByName(Http.HOST)));
        List<String> ports = new ArrayList<>();
        for (ServerSocket socket : sockets) {
            ports.add("" + socket.getLocalPort());
            socket.close();
        }
        callers = Http.HOST + ":" + ports.get(0);
        readiness = Http.HOST + ":" + ports.get(1);
        Map<String, String> values = Map.of("NodeName", id, "Zone", "zone-a", "ListenAddresses.Frontend", callers,
                "ListenAddresses.Readiness", readiness, "platform.Address", store.address(), "Bounds.HoldMaxMs", "6000",
                "Limits.CpuShare", "0.75", "Limits.CpuCores", "1");
        String text = Files.readString(Path.of("deploy/entry.toml"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "|json}}", "\"" + value.getValue() + "\"");
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        text = text.replace("{{IpAddress}}:{{InternalPortRange.0}}", Http.HOST + ":" + ports.get(2));
        text = text.replace("{{IpAddress}}:9464", Http.HOST + ":" + ports.get(3));
        text = text.replace("{{Advisor}}", advisor).replace("{{CloudApi.Address}}", machines).replace("{{CloudApi.DutyPerS}}", "64.0");
        // A placeholder without a value gives nothing: no machines to move, no advice.
        text = text.replaceAll("\\{\\{[^}]*\\}\\}", "");
        settings = folder.resolve(id + ".toml");
        output = folder.resolve(id + ".log");
        Files.writeString(settings, text);
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (!line.startsWith("run = ")) continue;
            command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
        }
    }

    void start() throws IOException {
        // FileDescriptors of the sites (DEPLOY, Settings of a process); the program is started in the place of the shell.
        List<String> limited = new ArrayList<>(List.of("sh", "-c", "ulimit -n 4100 && exec \"$@\"", "sh"));
        limited.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(limited);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("VERBENAGAUGE_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
    }

    boolean isReady() {
        Http.Answer answer = Http.call(readiness, "GET", "/v1/readiness", Map.of("Host", readiness), "", 1_000);
        return answer != null && answer.status() == 200;
    }

    /** Number of open descriptors of the process. */
    int descriptors() {
        String[] names = new java.io.File("/proc/" + process.pid() + "/fd").list();
        return names == null ? -1 : names.length;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    void kill() {
        if (process != null) process.destroyForcibly();
    }

    /** SIGTERM, and SIGKILL after GracePeriodS. */
    void terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(6, TimeUnit.SECONDS)) kill();
        process.waitFor();
    }

    /** Lines of its log that hold [word]. */
    List<String> log(String word) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(output)) if (line.contains(word)) found.add(line);
        return found;
    }
}
