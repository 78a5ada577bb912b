import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** The parts of a case: store, workers, entries as processes, clients; and the record of what was sent and run. */
class Rig implements Worker.Watch {
    static final String ROUTE_HOST = "jobs.example";
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Object lock = new Object();
    final Store store = new Store();
    final List<Worker> workers = new java.util.concurrent.CopyOnWriteArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    /** All runs of all workers, in the order of their starts. */
    final List<Worker.Run> runs = new ArrayList<>();
    /** Address of the service for advice; empty for none. */
    String advisor = "";
    /** Address of the machines' API; empty for none. */
    String machines = "";
    /** Most tasks that ran at once, and the starts that brought it there. */
    long mostRunning;
    final List<String> overruns = new ArrayList<>();
    final Map<String, long[]> workByJob = new LinkedHashMap<>();
    private final StringBuilder record = new StringBuilder();
    private final long startedAt = System.nanoTime();
    private final Path folder;

    Rig() throws IOException {
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private void close() {
        entries.forEach(Entry::kill);
        if (System.getenv("KEEP") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        } catch (IOException e) {
            System.err.println("not removed: " + folder);
        }
    }

    static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    void note(String text) {
        synchronized (record) {
            String line = String.format("%9.3f s  %s%n", (System.nanoTime() - startedAt) / 1e9, text);
            record.append(line);
            System.out.print(line);
        }
    }

    /** Writes the record into [file]. */
    void save(Path file) throws IOException {
        synchronized (record) {
            Files.writeString(file, record.toString());
        }
    }

    void worker(String id, String service, long cpu) throws IOException {
        workers.add(new Worker(id, service, cpu, lock, this));
    }

    /** Starts [count] entries on the workers that were added, under [config]. */
    void start(int count, Map<String, Object> config) throws Exception {
        store.put("op", "config", config);
        workers.forEach(worker -> store.put("servers", worker.id, worker.listed()));
        Http.daemon(() -> every(1_500, () -> workers.forEach(worker -> store.put("servers", worker.id, worker.listed()))));
        Http.daemon(() -> every(5, () -> {
            synchronized (lock) {
                workers.forEach(Worker::advance);
            }
        }));
        for (int i = 0; i < count; i++) entries.add(new Entry(i, store.port(i), folder, advisor, machines));
        for (Entry entry : entries) entry.start();
        if (!await(30_000, () -> entries.stream().allMatch(Entry::isReady) && store.leader() >= 0)) {
            throw new IllegalStateException("the entries are not ready, see " + folder);
        }
        note(count + " entries are ready, the leader is " + entries.get(store.leader()).id);
    }

    private static void every(long gapMillis, Runnable task) {
        try {
            while (true) {
                Thread.sleep(gapMillis);
                task.run();
            }
        } catch (InterruptedException e) {
            // The program ends.
        }
    }

    static boolean await(long mostMillis, BooleanSupplier isMet) throws InterruptedException {
        long until = millis() + mostMillis;
        while (!isMet.getAsBoolean()) {
            if (millis() > until) return false;
            Thread.sleep(20);
        }
        return true;
    }

    static Map<String, Object> route(String name, String service) {
        return Json.map("Name", name, "Host", ROUTE_HOST, "PathPrefix", "/" + name + "/", "Service", service, "Priority", 0,
                "MaxAttempts", 4, "SlackFactor", 2.0, "CompletionTargetMs", 2_500);
    }

    static Map<String, Object> config(long version, List<Map<String, Object>> routes, Map<String, Object> maxCount,
                                      String... services) {
        List<Object> listed = new ArrayList<>();
        for (String service : services) listed.add(Json.map("Name", service));
        return Json.map("Version", version, "Routes", routes, "Services", listed, "Tenants", List.of(Json.map("Name", "t1",
                "ApiKeys", List.of("key-1"), "Weight", 1_000, "MaxCount", maxCount)), "Limits", Json.map("MaxBodyBytes", 262_144));
    }

    static Map<String, Object> step(int count, long cpu, long estimatedMillis, Integer dependency) {
        return Json.map("Count", count, "Cpu", cpu, "MemMb", 1, "EstimatedMs", estimatedMillis, "Dependencies",
                dependency == null ? null : List.of(dependency));
    }

    /** Calls [entry] about a job. */
    Http.Answer call(Entry entry, String method, String route, String jobId, String body) {
        return Http.call(entry.callers, method, "/" + route + "/" + jobId,
                Map.of("Host", ROUTE_HOST, "X-Verbenagauge-Credential", "key-1", "X-Verbenagauge-Deadline-Ms", "3000"),
                body, 3_000);
    }

    /** Hands a job in at [entry]; the tasks of its steps work for [workMillis]. Returns the status, 0 for no answer. */
    int submit(Entry entry, String route, String jobId, List<Map<String, Object>> steps, long... workMillis) {
        synchronized (lock) {
            workByJob.put(jobId, workMillis);
        }
        String body = Json.write(Json.map("Specification", "job " + jobId, "Steps", steps));
        Http.Answer answer = call(entry, "POST", route, jobId, body);
        return answer == null ? 0 : answer.status();
    }

    /** State of a job as [entry] shows it. */
    String state(Entry entry, String route, String jobId) {
        Http.Answer answer = call(entry, "GET", route, jobId, "");
        if (answer == null) return "no answer";
        return answer.status() == 200 ? (String) ((Map<?, ?>) Json.read(answer.body())).get("State") : "" + answer.status();
    }

    @Override
    public long workMillis(Worker.Run run) {
        long[] work = workByJob.get(run.jobId());
        return work == null ? 100 : work[run.step()];
    }

    @Override
    public void started(Worker.Run run) {
        runs.add(run);
        workers.forEach(Worker::advance);
        long all = workers.stream().mapToLong(worker -> worker.running.size()).sum();
        if (all > mostRunning) overruns.add("start of " + run.task + " on " + run.worker.id + ": " + all + " tasks run");
        mostRunning = Math.max(mostRunning, all);
    }

    @Override
    public void ended(Worker.Run run) {
        // The record of a case tells what it needs.
    }

    long count(java.util.function.Predicate<Worker.Run> filter) {
        synchronized (lock) {
            return runs.stream().filter(filter).count();
        }
    }

    public static void main(String[] words) throws Exception {
        Path folder = Path.of(words[1]);
        Http.daemon(() -> {
            try {
                Thread.sleep(115_000);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("the case took too long");
            System.exit(NOT_RUN);
        });
        Rig rig = new Rig();
        int outcome;
        try {
            outcome = switch (words[0]) {
                case "progress" -> new Progress(rig).play();
                case "quota" -> new Quota(rig).play();
                case "route" -> new Route(rig).play();
                case "timed" -> new Timed(rig).play();
                case "advice" -> new Advice(rig).play();
                case "cancel" -> new Cancel(rig).play();
                case "lasting" -> new Lasting(rig).play();
                case "foreign" -> new Foreign(rig).play();
                case "moves" -> new Moves(rig).play();
                case "roster" -> new Roster(rig).play();
                case "future" -> new Future(rig).play();
                default -> throw new IllegalArgumentException("no case " + words[0]);
            };
        } catch (Exception e) {
            rig.note("the case couldn't run: " + e);
            e.printStackTrace();
            outcome = NOT_RUN;
        }
        rig.note("outcome " + outcome);
        rig.save(folder.resolve("record.txt"));
        System.exit(outcome);
    }
}
