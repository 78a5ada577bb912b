import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** What all cases share: a store, workers, entries, callers, and the end of all processes. */
final class Scene {
    static final String HOST = "127.0.0.1";

    // Codes that a failing Java does not end with, so that its failure is not taken for a result.
    private static final int HELD = 40;
    private static final int BROKEN = 41;
    private static final int COULD_NOT_RUN = 42;

    /** Thrown when a case could not run. */
    static final class CannotRun extends Exception {
        CannotRun(String why) {
            super(why);
        }
    }

    interface Body {
        /** Plays the case; returns what was broken, or null if the rule held. */
        String play(Scene scene) throws Exception;
    }

    final Record record;
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store = new Store();
    final Path folder = Files.createTempDirectory("review-2");
    final List<Entry> entries = new ArrayList<>();
    final Caller caller;

    private Scene(Path caseFolder) throws Exception {
        record = new Record(caseFolder.resolve("record.txt"));
        caller = new Caller(record);
    }

    /** Runs [body] for the case in the folder that args name, and ends with 1, 0 or 2. */
    static void run(String[] args, Body body) throws Exception {
        Scene scene = new Scene(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(scene::close));
        int code;
        try {
            scene.record.line(scene.hasTrouble ? "with the disruption" : "without the disruption");
            String broken = body.play(scene);
            scene.record.line(broken == null ? "HELD" : "BROKEN: " + broken);
            System.out.println(broken == null ? "held" : "broken: " + broken);
            code = broken == null ? HELD : BROKEN;
        } catch (CannotRun e) {
            scene.record.line("COULD NOT RUN: " + e.getMessage());
            System.out.println("could not run: " + e.getMessage());
            code = COULD_NOT_RUN;
        } catch (Exception e) {
            e.printStackTrace();
            scene.record.line("COULD NOT RUN: " + e);
            code = COULD_NOT_RUN;
        }
        scene.close();
        Runtime.getRuntime().halt(code);
    }

    private synchronized void close() {
        for (Entry entry : entries) {
            try {
                entry.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (Exception e) {
            // The folder is a temporary one.
        }
    }

    /** Writes the config. */
    void configure(long version, List<Object> routes, List<Object> services, List<Object> tenants) {
        store.put("op", "config", Json.map("Version", version, "Routes", routes, "Services", services,
            "Tenants", tenants, "Limits", Json.map("MaxBodyBytes", 262_144L)));
        record.line("op/config version " + version);
    }

    static Map<String, Object> route(String name, String service) {
        return Json.map("Name", name, "Host", HOST, "PathPrefix", "/" + name + "/", "Service", service, "Priority", 0L,
            "MaxAttempts", 3L, "SlackFactor", 2.0, "CompletionTargetMs", 600L);
    }

    static Map<String, Object> tenant(String name, double weight, long maxCpu) {
        return Json.map("Name", name, "ApiKeys", List.of("key-" + name), "Weight", weight,
            "MaxCount", Json.map("Cpu", maxCpu, "MemMb", 0L, "Gpu", 0L));
    }

    static Map<String, Object> service(String name, boolean standby) {
        return Json.map("Name", name, "EnforcesCapacity", false, "Standby", standby);
    }

    void list(Worker worker) {
        store.put("servers", worker.id, worker.listed());
        record.line("servers/" + worker.id + " " + Json.write(worker.listed()));
    }

    /** Lets the workers that are up write to the list about every 1.5 s, as HeartbeatIntervalMs says. */
    void beat(List<Worker> workers) {
        Thread beats = new Thread(() -> {
            try {
                for (int i = 0; true; i++) {
                    Worker worker = workers.get(i % workers.size());
                    if (worker.isUp()) store.put("servers", worker.id, worker.listed());
                    Thread.sleep(1_500 / workers.size());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        beats.setDaemon(true);
        beats.start();
    }

    Entry entry(String name, String machines, String advisor) throws Exception {
        Entry entry = new Entry(name, folder, store.web.address(), machines, advisor);
        entries.add(entry);
        entry.start();
        return entry;
    }

    void awaitReady(Entry entry) throws Exception {
        await("entry " + entry.name + " is ready", 30_000, () -> caller.isReady(entry));
        record.line(entry.name + " is ready");
    }

    interface Check {
        boolean holds() throws Exception;
    }

    boolean holdsWithin(long millis, Check check) throws Exception {
        long until = record.now() + millis;
        while (record.now() < until) {
            if (check.holds()) return true;
            Thread.sleep(20);
        }
        return check.holds();
    }

    void await(String what, long millis, Check check) throws Exception {
        if (!holdsWithin(millis, check)) throw new CannotRun("not within " + millis + " ms: " + what);
        }

    /** Returns the entry that holds the orders, once it is known. */
    Entry owner() throws Exception {
        String row = store.get("states", "owner", "owner");
        if (row == null) return null;
        for (Entry entry : entries) if (row.contains(entry.name)) return entry;
        return null;
    }

    Caller.Answer submit(Entry entry, String queue, String tenant, String id, Map<String, Object> job) {
        return caller.call(entry, "POST", "/" + queue + "/" + id, "key-" + tenant, Json.write(job));
    }

    String state(Entry entry, String queue, String tenant, String id) {
        Caller.Answer answer = caller.call(entry, "GET", "/" + queue + "/" + id, "key-" + tenant, null);
        return answer.status() == 200 ? Json.string(Json.object(answer.body()).get("State")) : "" + answer.status();
    }

    /** A job id of 16 hexadecimal digits; none ends in 0, so that no name of a task looks like an address. */
    static String id(int number) {
        return String.format("5c0e7a2%08xa", number);
    }

    static Map<String, Object> job(String specification, Object... steps) {
        return Json.map("Specification", specification, "Steps", List.of(steps));
    }

    static Map<String, Object> step(long count, long cpu, long estimatedMillis, Object... more) {
        Map<String, Object> step = Json.map("Count", count, "Cpu", cpu, "MemMb", 100L, "EstimatedMs", estimatedMillis);
        step.putAll(Json.map(more));
        return step;
    }

    /** Number of runs of [job]. */
    static int runs(String job) {
        synchronized (Worker.FLOOR) {
            return (int) Worker.ALL.stream().flatMap(it -> it.running.stream()).filter(it -> it.job().equals(job))
                .count();
        }
    }

    /** Processor room in use on the workers of [service], in thousandths of a core. */
    static long cpuInUse(String service, Map<String, Long> cpuByJob) {
        synchronized (Worker.FLOOR) {
            return Worker.ALL.stream().filter(it -> it.service.equals(service)).flatMap(it -> it.running.stream())
                .mapToLong(it -> cpuByJob.getOrDefault(it.job(), 0L)).sum();
        }
    }
}
