import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for a worker (PROTOCOL, Running tasks). It is sound: it only lets time pass, and guards nothing. */
final class Worker {
    static final long HOLD_MAX_MILLIS = 6_000;
    private static final long STOP_MILLIS = 200;
    private static final int PAGE = 500;

    /** A run. */
    static final class Run {
        final String task;
        final long runId;
        final Worker worker;
        final long startedAt = System.nanoTime() / 1_000_000;
        long stopsAt = Long.MAX_VALUE;
        String how = "";
        long number;
        /** Whether AckCursor has reached its end while the lease held. */
        boolean isTaken;
        /** Whether the lease lapsed before its end was taken note of. */
        boolean isForgotten;

        Run(String task, long runId, Worker worker) {
            this.task = task;
            this.runId = runId;
            this.worker = worker;
        }

        int step() {
            return Integer.parseInt(task.split("\\.")[2]);
        }

        String jobId() {
            return task.split("\\.")[0];
        }
    }

    /** What the rig wants to know of runs; called under the lock. */
    interface Watch {
        void started(Run run);

        void ended(Run run);

        /** How long a task of this name works, in milliseconds; below 0: until it is stopped. */
        long workMillis(Run run);
    }

    final String id;
    final String service;
    final long cpu;
    final Http port;
    final Map<String, Run> running = new HashMap<>();
    final List<Run> ends = new ArrayList<>();
    /** Machine that this worker is a life of. */
    final String machine;
    /** Rack of the machine, one of the labels. */
    String rack = "r1-1";
    /** Calls that it has had. */
    int calls;
    final long begunAt = System.nanoTime() / 1_000_000;
    private boolean isGone;
    private final Map<String, Long> highestGone = new HashMap<>();
    private final Watch watch;
    private final Object lock;
    private final long bornNanos = System.nanoTime();
    private final long born = System.currentTimeMillis();
    private long endCounter;
    private long highestToken;
    private long leaseUntil;
    private long sequence;

    Worker(String id, String service, long cpu, Object lock, Watch watch) throws IOException {
        this(id, "m-" + id, service, cpu, lock, watch);
    }

    Worker(String id, String machine, String service, long cpu, Object lock, Watch watch) throws IOException {
        this.machine = machine;
        this.id = id;
        this.service = service;
        this.cpu = cpu;
        this.lock = lock;
        this.watch = watch;
        port = new Http(this::handle);
    }

    /** Entry in the list of workers. */
    Map<String, Object> listed() {
        return Json.map("Service", service, "Address", port.address(), "Zone", "zone-a", "Version", "1", "Slots", 8,
                "State", "ready", "ColdRemainingMs", 0, "Sequence", ++sequence, "Capacity",
                Json.map("Cpu", cpu, "MemMb", 131_072, "Gpu", 0), "Labels", List.of("a", rack), "Machine", machine,
                "born", born);
    }

    private long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    boolean hasLapsed() {
        return clock() > leaseUntil;
    }

    /** Ends this life at once, with everything that runs; called under the lock. */
    void leave() {
        isGone = true;
        running.clear();
        ends.clear();
        lock.notifyAll();
        port.close();
    }

    /** Lets time pass; called under the lock. */
    void advance() {
        if (isGone) return;
        long now = System.nanoTime() / 1_000_000;
        boolean hasLapsed = hasLapsed();
        for (Run run : new ArrayList<>(running.values())) {
            long work = watch.workMillis(run);
            if (hasLapsed) end(run, "lapsed");
            else if (now >= run.stopsAt) end(run, "stopped");
            else if (work >= 0 && now - run.startedAt >= work) end(run, "done");
        }
        if (hasLapsed) ends.forEach(run -> run.isForgotten |= !run.isTaken);
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        highestGone.merge(run.task, run.runId, Math::max);
        run.how = how;
        run.number = ++endCounter;
        ends.add(run);
        watch.ended(run);
        lock.notifyAll();
    }

    private Http.Answer handle(Http.Call call) throws InterruptedException {
        synchronized (lock) {
            if (isGone) return null;
            calls++;
            advance();
            String intended = call.headers().get("x-verbenagauge-expected-instance");
            if (intended != null && !intended.equals(id)) return new Http.Answer(421, "{}");
            Map<String, Object> order = Json.object(call.body());
            switch (call.path()) {
                case "/v1/run-start": return start(order);
                case "/v1/run-stop": return stop(order);
                case "/v1/pace": return isFenced(order) ? refused("fence") : done();
                case "/v1/hold": return hold(order);
                default: return new Http.Answer(400, "{}");
            }
        }
    }

    private boolean isFenced(Map<String, Object> order) {
        long token = (Long) order.getOrDefault("FencingToken", 0L);
        if (token < highestToken) return true;
        highestToken = token;
        return false;
    }

    private void extend(Object deadline) {
        if (deadline != null) leaseUntil = Math.max(leaseUntil, Math.min((Long) deadline, clock() + HOLD_MAX_MILLIS));
    }

    private Http.Answer start(Map<String, Object> order) {
        if (isFenced(order)) return refused("fence");
        String task = (String) order.get("Task");
        long runId = (Long) order.get("RunId");
        Run known = running.get(task);
        if (known != null && known.runId == runId) {
            extend(order.get("DeadlineMs"));
            return done();
        }
        if ((Long) order.get("DeadlineMs") <= clock()) return refused("late");
        extend(order.get("DeadlineMs"));
        if (runId <= highestGone.getOrDefault(task, 0L) || known != null) return refused("old");
        Run run = new Run(task, runId, this);
        running.put(task, run);
        watch.started(run);
        return done();
    }

    private Http.Answer stop(Map<String, Object> order) {
        if (isFenced(order)) return refused("fence");
        String task = (String) order.get("Task");
        long runId = (Long) order.get("RunId");
        highestGone.merge(task, runId, Math::max);
        Run run = running.get(task);
        if (run != null && run.runId <= runId) {
            run.stopsAt = Math.min(run.stopsAt, System.nanoTime() / 1_000_000 + STOP_MILLIS);
        }
        return done();
    }

    private Http.Answer hold(Map<String, Object> call) throws InterruptedException {
        if (isFenced(call)) return refused("fence");
        extend(call.get("DeadlineMs"));
        long cursor = (Long) call.getOrDefault("AckCursor", 0L);
        ends.removeIf(run -> {
            if (run.number > cursor) return false;
            run.isTaken = !run.isForgotten;
            return true;
        });
        long until = System.nanoTime() / 1_000_000 + Math.min(2_000, (Long) call.getOrDefault("WaitMs", 0L));
        for (long left = 1; ends.isEmpty() && !isGone && left > 0; left = until - System.nanoTime() / 1_000_000) lock.wait(left);
        List<Object> runs = new ArrayList<>();
        long now = System.nanoTime() / 1_000_000;
        for (Run run : running.values()) {
            long work = watch.workMillis(run);
            runs.add(List.of(run.task, run.runId, "", work < 0 ? 100 : Math.min(99, (now - run.startedAt) * 100 / Math.max(1, work)), 0));
        }
        List<Object> finished = new ArrayList<>();
        for (Run run : ends) {
            if (finished.size() < PAGE) finished.add(List.of(run.number, run.task, run.runId, run.how, ""));
        }
        return new Http.Answer(200, Json.write(Json.map("ClockMs", clock(), "born", born, "Running", runs, "Finished", finished)));
    }

    private Http.Answer done() {
        return new Http.Answer(200, Json.write(Json.map("ClockMs", clock())));
    }

    private Http.Answer refused(String reason) {
        return new Http.Answer(409, Json.write(Json.map("ClockMs", clock(), "Reason", reason)));
    }
}
