import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker of the platform. The text of a job tells how long its tasks take: "work MS", or "lasting" for tasks that run
 * until they are stopped.
 */
final class Worker {
    static final class Run {
        final String task;
        final long runId;
        final String text;
        final long startedMillis;
        long stopMillis = Long.MAX_VALUE;

        Run(String task, long runId, String text, long startedMillis) {
            this.task = task;
            this.runId = runId;
            this.text = text;
            this.startedMillis = startedMillis;
        }

        boolean isLasting() {
            return text.startsWith("lasting");
        }

        long endMillis() {
            return isLasting() ? Long.MAX_VALUE : startedMillis + Long.parseLong(text.split(" ")[1]);
        }
    }

    interface Gate {
        /** Returns the answer in place of the worker's, or null to go on. */
        Http.Answer before(Http.Call call) throws Exception;
    }

    private static final long STARTUP_MILLIS = 500;
    private static final long STOP_MILLIS = 200;
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final long HEARTBEAT_MILLIS = 1_500;

    /** Most channels that a worker takes; 0 for no limit. */
    static int mostChannels;

    final String id;
    final String machine;
    volatile String service;
    final Http http;
    final Gateway gateway;
    private final Store store;
    private final Record record;
    private final String host;
    private final long capacityCpu;
    private final Thread ticker;
    volatile Gate gate = call -> null;

    private long born;
    private long clockStartNanos;
    private long token;
    private long deadlineMillis;
    private long endCounter;
    private long sequence;
    final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> endedRunByTask = new LinkedHashMap<>();
    private final List<List<Object>> ends = new ArrayList<>();

    Worker(String id, String machine, String service, String host, long capacityCpu, Store store, Record record) throws IOException {
        this.id = id;
        this.machine = machine;
        this.service = service;
        this.host = host;
        this.capacityCpu = capacityCpu;
        this.store = store;
        this.record = record;
        begin();
        http = new Http(host, 0, this::handle);
        gateway = mostChannels > 0 ? new Gateway(host, http.port(), mostChannels) : null;
        ticker = new Thread(this::tick, "worker " + id);
        ticker.setDaemon(true);
        ticker.start();
    }

    /** Begins a lifetime that knows nothing of before. */
    synchronized void begin() {
        born = System.currentTimeMillis();
        clockStartNanos = System.nanoTime();
        token = 0;
        deadlineMillis = 0;
        endCounter = 0;
        sequence = 0;
        running.values().forEach(run -> record.line("gone     " + id + " " + run.task + " run " + run.runId));
        running.clear();
        endedRunByTask.clear();
        ends.clear();
    }

    private long clock() {
        return 1_000 + (System.nanoTime() - clockStartNanos) / 1_000_000;
    }

    private void tick() {
        long listedNanos = 0;
        while (true) {
            synchronized (this) {
                long now = clock();
                for (Run run : new ArrayList<>(running.values())) {
                    if (now > deadlineMillis) end(run, "lapsed");
                    else if (now >= run.stopMillis) end(run, "stopped");
                    else if (now >= run.endMillis()) end(run, "done");
                }
            }
            if (System.nanoTime() - listedNanos > HEARTBEAT_MILLIS * 1_000_000) {
                listedNanos = System.nanoTime();
                list();
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes the worker's entry. */
    synchronized void list() {
        store.put("servers", id, Json.of(
            "Service", service, "Address", host + ":" + port(), "Zone", "zone-a", "Version", "v1", "Slots", 8L,
            "State", "ready", "ColdRemainingMs", 0L, "Capacity", Json.of("Cpu", capacityCpu, "MemMb", 64_000L, "Gpu", 0L),
            "Labels", List.of("a", "r1-1"), "Machine", machine, "ClockMs", clock(), "Sequence", ++sequence, "born", born));
    }

    /** Ends a run in the given way. */
    synchronized void end(Run run, String how) {
        if (running.remove(run.task) == null) return;
        endedRunByTask.merge(run.task, run.runId, Math::max);
        ends.add(List.of(++endCounter, run.task, run.runId, how, ""));
        record.line("end      " + id + " " + run.task + " run " + run.runId + " " + how);
        notifyAll();
    }

    int port() {
        return gateway == null ? http.port() : gateway.port();
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(running.values());
    }

    private Http.Answer handle(Http.Call call) throws Exception {
        Http.Answer other = gate.before(call);
        if (other != null) return other;
        String life = call.header("X-Verbenagauge-Expected-Instance");
        if (life != null && !life.equals(id)) return new Http.Answer(421, Json.of("ClockMs", clock()));
        switch (call.path) {
            case "/v1/run-start": return start(call.body);
            case "/v1/run-stop": return stop(call.body);
            case "/v1/hold": return hold(call.body);
            case "/v1/pace": return refuseOr(call.body, Json.of("ClockMs", clock()));
            default: return new Http.Answer(404, null);
        }
    }

    private Http.Answer refused(String reason) {
        return new Http.Answer(409, Json.of("ClockMs", clock(), "Reason", reason));
    }

    private Http.Answer refuseOr(Map<String, Object> body, Map<String, Object> answer) {
        if (isFenced(body)) return refused("fence");
        return new Http.Answer(200, answer);
    }

    private boolean isFenced(Map<String, Object> body) {
        long sent = Json.number(body.get("FencingToken"));
        if (sent < token) return true;
        token = sent;
        return false;
    }

    private void extend(Map<String, Object> body) {
        long sent = Json.number(body.get("DeadlineMs"));
        deadlineMillis = Math.max(deadlineMillis, Math.min(sent, clock() + HOLD_MAX_MILLIS));
    }

    synchronized Http.Answer start(Map<String, Object> body) {
        String task = (String) body.get("Task");
        long runId = Json.number(body.get("RunId"));
        Http.Answer answer = tryStart(body, task, runId);
        record.line("start    " + id + " " + task + " run " + runId + " token " + body.get("FencingToken") + " -> " + answer.status + " " + Json.write(answer.body));
        return answer;
    }

    private Http.Answer tryStart(Map<String, Object> body, String task, long runId) {
        if (isFenced(body)) return refused("fence");
        if (Json.number(body.get("DeadlineMs")) <= clock()) return refused("late");
        Run known = running.get(task);
        if (known != null && known.runId == runId) {
            extend(body);
            return new Http.Answer(200, Json.of("ClockMs", clock()));
        }
        if (endedRunByTask.getOrDefault(task, 0L) >= runId || known != null) {
            extend(body);
            return refused("old");
        }
        extend(body);
        running.put(task, new Run(task, runId, (String) body.get("Specification"), clock()));
        record.line("run      " + id + " " + task + " run " + runId);
        return new Http.Answer(200, Json.of("ClockMs", clock()));
    }

    private synchronized Http.Answer stop(Map<String, Object> body) {
        if (isFenced(body)) return refused("fence");
        String task = (String) body.get("Task");
        long runId = Json.number(body.get("RunId"));
        record.line("stop     " + id + " " + task + " run " + runId);
        endedRunByTask.merge(task, runId, Math::max);
        Run run = running.get(task);
        if (run != null && run.runId <= runId) run.stopMillis = Math.min(run.stopMillis, clock() + STOP_MILLIS);
        return new Http.Answer(200, Json.of("ClockMs", clock()));
    }

    private synchronized Http.Answer hold(Map<String, Object> body) throws InterruptedException {
        if (isFenced(body)) return refused("fence");
        long acknowledged = Json.number(body.get("AckCursor"));
        ends.removeIf(end -> (Long) end.get(0) <= acknowledged);
        extend(body);
        long until = clock() + Math.min(2_000, Json.number(body.get("WaitMs")));
        long bornThen = born;
        while (ends.isEmpty() && clock() < until && born == bornThen) wait(Math.max(1, until - clock()));
        List<Object> listed = new ArrayList<>();
        for (Run run : running.values()) {
            long ranMillis = clock() - run.startedMillis;
            long percent = run.isLasting()
                ? (ranMillis > STARTUP_MILLIS ? 100 : 0)
                : Math.min(99, ranMillis * 100 / Math.max(1, run.endMillis() - run.startedMillis));
            listed.add(List.of(run.task, run.runId, "", percent, 100L));
        }
        List<Object> finished = new ArrayList<>(ends.subList(0, Math.min(500, ends.size())));
        return new Http.Answer(200, Json.of("ClockMs", clock(), "born", born, "Running", listed, "Finished", finished));
    }
}
