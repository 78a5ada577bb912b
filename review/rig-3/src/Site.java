import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A small deployment on loopback addresses: the store, the list of machines, workers and entries, with a client. */
final class Site implements AutoCloseable {
    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    static final String HOST = "queues.example";

    private static final long MOST_MILLIS = 110_000;

    final Path root;
    final Path folder;
    final Record record;
    final boolean hasTrouble;
    final Store store;
    final Cloud cloud;
    final List<Worker> workers = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    private final int net = 2 + new Random().nextInt(250);
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    Site(String[] arguments) throws Exception {
        root = Path.of(arguments[0]).toAbsolutePath();
        record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        folder = Files.createTempDirectory("case");
        store = new Store(address(1));
        cloud = new Cloud(address(2));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        Thread watch = new Thread(() -> {
            try {
                Thread.sleep(MOST_MILLIS);
                finish(2, "the case took longer than " + MOST_MILLIS + " ms");
            } catch (Exception e) {
                Runtime.getRuntime().halt(2);
            }
        });
        watch.setDaemon(true);
        watch.start();
        record.line("trouble " + hasTrouble);
    }

    String address(int last) {
        return "127." + net + ".7." + last;
    }

    Worker addWorker(String id, String service, long cpu) throws Exception {
        Worker worker = new Worker(id, "m-" + id, service, address(20 + workers.size()), cpu, store, record);
        workers.add(worker);
        Cloud.Machine machine = new Cloud.Machine(worker.machine, service, cpu);
        machine.worker = worker;
        synchronized (cloud) {
            cloud.machines.put(machine.name, machine);
        }
        return worker;
    }

    private volatile int lives;

    private String machineAddress(String name) {
        return address(20 + new ArrayList<>(cloud.machines.keySet()).indexOf(name));
    }

    void addMachine(String name, String pool, long cpu) throws Exception {
        Cloud.Machine machine = new Cloud.Machine(name, pool, cpu);
        synchronized (cloud) {
            cloud.machines.put(name, machine);
        }
        machine.worker = new Worker("i-" + name + "-" + ++lives, name, pool, machineAddress(name), cpu, store, record);
    }

    /** Workers of the machines that are up in [pool]. */
    List<Worker> workersOf(String pool) {
        List<Worker> found = new ArrayList<>();
        synchronized (cloud) {
            for (Cloud.Machine machine : cloud.machines.values()) {
                if (machine.pool.equals(pool) && machine.state.equals("up") && machine.worker != null) found.add(machine.worker);
            }
        }
        return found;
    }

    Entry addEntry() throws Exception {
        Entry entry = new Entry(root, folder, "entry-" + (entries.size() + 1), address(100 + entries.size()),
            address(1) + ":" + store.http.port(), address(2) + ":" + cloud.http.port());
        entries.add(entry);
        entry.start(root);
        return entry;
    }

    /** Sends a call of a client; returns status and body, or status 0 when there is no answer. */
    Http.Answer call(Entry entry, String method, String path, Object body) {
        return call(entry, method, path, body, 3_000);
    }

    Http.Answer call(Entry entry, String method, String path, Object body, long waitMillis) {
        String text = body == null ? "" : Json.write(body);
        Http.Answer answer;
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + entry.host + ":" + entry.callerPort + path))
                .timeout(Duration.ofMillis(waitMillis))
                .header("Host", HOST)
                .header("X-Verbenagauge-Deadline-Ms", Long.toString(waitMillis))
                .method(method, text.isEmpty() ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(text));
            if (!text.isEmpty()) request.header("Content-Type", "application/json");
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            Map<String, Object> read = response.body().isEmpty() ? null : Json.map(Json.read(response.body()));
            answer = new Http.Answer(response.statusCode(), read);
        } catch (Exception e) {
            answer = new Http.Answer(0, Json.of("error", e.toString()));
        }
        record.line("client   " + method + " " + path + " at " + entry.name + " -> " + answer.status + " " + Json.write(answer.body));
        return answer;
    }

    /** Asks for the readiness on a new channel. */
    boolean isReady(Entry entry) {
        try {
            HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry.host + ":" + entry.readinessPort + "/v1/readiness"))
                .timeout(Duration.ofMillis(1_000)).build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (Exception e) {
            return false;
        }
    }

    /** Waits until all entries are ready; ends with 2 if they don't become so. */
    void awaitReady() throws Exception {
        long untilMillis = record.now() + 30_000;
        for (Entry entry : entries) {
            while (!isReady(entry)) {
                if (record.now() > untilMillis) finish(2, entry.name + " is not ready");
                Thread.sleep(100);
            }
        }
        record.line("all entries are ready");
    }

    static Map<String, Object> route(String name, String prefix, String service) {
        return Json.of("Name", name, "Host", HOST, "PathPrefix", prefix, "Kind", "non_idempotent", "TimeoutMs", 3_000L,
            "CompletionTargetMs", 2_500L, "Priority", 0L, "Service", service, "MaxAttempts", 4L, "SlackFactor", 2.2,
            "Anonymous", true);
    }

    static Map<String, Object> service(String name) {
        return Json.of("Name", name, "HealthPath", "/health", "ConnectionLimit", 64L, "Protocol", "h1", "Tls", false,
            "EnforcesCapacity", false, "Standby", false);
    }

    void config(long version, List<?> routes, List<?> services) {
        store.put("op", "config", Json.of("Version", version, "Routes", routes, "Services", services,
            "Limits", Json.of("MaxHeaderBytes", 16_384L, "MaxBodyBytes", 262_144L, "HeaderTimeoutMs", 3_000L, "IdleTimeoutMs", 15_000L),
            "Tenants", List.of(Json.of("Name", "cugo130", "ApiKeys", List.of("sjnbanfqasnmgkcuyj8p"), "Weight", 55.0,
                "MaxCount", Json.of("Cpu", 0L, "MemMb", 0L, "Gpu", 0L)))));
        record.line("config version " + version);
    }

    private void killAll() {
        entries.forEach(Entry::kill);
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    void finish(int status, String text) throws Exception {
        record.line((status == 1 ? "BROKEN: " : status == 0 ? "held: " : "could not run: ") + text);
        System.out.println((status == 1 ? "BROKEN: " : status == 0 ? "held: " : "could not run: ") + text);
        if (System.getenv("KEEP_LOGS") != null) System.out.println("logs: " + folder);
        close();
        Runtime.getRuntime().halt(status);
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Entry entry : entries) if (entry.process != null) entry.process.waitFor();
        if (System.getenv("KEEP_LOGS") != null) return;
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
