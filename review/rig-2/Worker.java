import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A sound worker (PROTOCOL, Running tasks). The specification of a task tells what it does: "work=MS" ends it as done
 * after MS milliseconds, "lasts" lets it run until it is stopped, "lasts ends=MS" lets each of its runs end by itself
 * as done after MS milliseconds.
 */
final class Worker {
    /** One run. */
    static final class Run {
        final String task;
        final long runId;
        final long startedAt;
        final long token;
        final String specification;
        final Long durationMillis;
        final boolean lasts;
        long stopsAt = Long.MAX_VALUE;

        Run(String task, long runId, long startedAt, long token, String specification) {
            this.task = task;
            this.runId = runId;
            this.startedAt = startedAt;
            this.token = token;
            this.specification = specification;
            lasts = specification.contains("lasts");
            durationMillis = number(specification, lasts ? "ends=" : "work=");
        }

        private static Long number(String text, String name) {
            int at = text.indexOf(name);
            if (at < 0) return null;
            return Long.parseLong(text.substring(at + name.length()).split("[^0-9]")[0]);
        }

        String job() {
            return task.substring(0, task.indexOf('.'));
        }
    }

    /** Told of each start and end, under the lock of all workers. */
    interface Observer {
        default void started(Worker worker, Run run) {
        }

        default void ended(Worker worker, Run run, String how) {
        }
    }

    static final Object FLOOR = new Object();
    static final List<Worker> ALL = new ArrayList<>();
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final long STOP_MILLIS = 100;
    private static final long STARTUP_MILLIS = 300;
    private static final int MOST_ENDS = 500;

    final String id;
    final String machine;
    final String service;
    final long cpu;
    final long memory;
    String label;
    final List<Run> running = new ArrayList<>();
    volatile boolean isSilent;
    private final Record record;
    private final Observer observer;
    private final Web web;
    private final List<Object[]> ends = new ArrayList<>();
    private final Map<String, Long> highestGone = new HashMap<>();
    private long bornUnixMillis = System.currentTimeMillis();
    private long bornNanos = System.nanoTime();
    private long sequence;
    private long endNumber;
    private long highestToken;
    private long leaseUntil;
    private boolean isUp = true;

    Worker(String id, String machine, String service, long cpu, long memory, String label, Record record,
        Observer observer) throws Exception {
        this.id = id;
        this.machine = machine;
        this.service = service;
        this.cpu = cpu;
        this.memory = memory;
        this.label = label;
        this.record = record;
        this.observer = observer;
        web = new Web(this::handle);
        synchronized (FLOOR) {
            ALL.add(this);
        }
        startClock();
    }

    /** Its entry in the list of workers. */
    Object listed() {
        return Json.map("Service", service, "Address", web.address(), "Zone", "zone-a", "Version", "1", "Slots", 8L,
            "State", "ready", "ColdRemainingMs", 0L, "Sequence", ++sequence, "Capacity", Json.map("Cpu", cpu, "MemMb", memory),
            "Labels", List.of(label, "r1-1"), "Machine", machine, "born", bornUnixMillis);
    }

    /** Ends this life: everything that runs ends, and nothing is answered any more. */
    void end(String why) {
        synchronized (FLOOR) {
            isUp = false;
            ALL.remove(this);
            record.line(id + ": " + why + ", with " + running.size() + " runs");
            for (Run run : running) observer.ended(this, run, "gone");
            running.clear();
            FLOOR.notifyAll();
        }
    }

    /** Whether this life goes on. */
    boolean isUp() {
        synchronized (FLOOR) {
            return isUp;
        }
    }

    /**
     * Begins a new life under the id that it had, of the kind [newLabel]; it then knows nothing of before. It writes to
     * the list of workers before it answers anything.
     */
    void begin(String newLabel, Store store) {
        synchronized (FLOOR) {
            label = newLabel;
            bornUnixMillis = System.currentTimeMillis();
            bornNanos = System.nanoTime();
            sequence = 0;
            ends.clear();
            highestGone.clear();
            endNumber = 0;
            highestToken = 0;
            leaseUntil = 0;
            store.put("servers", id, listed());
            isUp = true;
            ALL.add(this);
            record.line(id + ": is listed as, and begins, a new life of the kind " + newLabel + ", born " + bornUnixMillis);
        }
        startClock();
    }

    long bornNanos() {
        return bornNanos;
    }

    private void startClock() {
        Thread clock = new Thread(this::pass, "worker " + id);
        clock.setDaemon(true);
        clock.start();
    }

    /** Ends this life as [end] does, and for good: its port and its channels are closed. */
    void leave(String why) {
        end(why);
        web.close();
    }

    private long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private void pass() {
        while (true) {
            synchronized (FLOOR) {
                if (!isUp) return;
                long now = clock();
                for (Run run : List.copyOf(running)) {
                    if (now > leaseUntil) finish(run, "lapsed");
                    else if (now >= run.stopsAt) finish(run, "stopped");
                    else if (run.durationMillis != null && now - run.startedAt >= run.durationMillis) {
                        finish(run, "done");
                    }
                }
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void finish(Run run, String how) {
        running.remove(run);
        highestGone.merge(run.task, run.runId, Math::max);
        ends.add(new Object[] {++endNumber, run.task, run.runId, how, ""});
        record.run(id, run.task, run.runId, "ended " + how);
        observer.ended(this, run, how);
        FLOOR.notifyAll();
    }

    private Web.Reply handle(Web.Ask ask) throws Exception {
        synchronized (FLOOR) {
            if (isSilent) {
                while (isSilent && isUp) FLOOR.wait(200);
                return null;
            }
            if (!isUp) return null;
            String intended = ask.header("X-Verbenagauge-Expected-Instance");
            if (intended != null && !intended.equals(id)) return new Web.Reply(421, "{}");
            return switch (ask.path()) {
                case "/v1/run-start" -> start(Json.object(ask.body()));
                case "/v1/run-stop" -> stop(Json.object(ask.body()));
                case "/v1/hold" -> hold(Json.object(ask.body()));
                case "/v1/pace" -> answer(200, null);
                default -> new Web.Reply(400, "{}");
            };
        }
    }

    private Web.Reply answer(int status, String reason) {
        Map<String, Object> answer = Json.map("ClockMs", clock());
        if (reason != null) answer.put("Reason", reason);
        return new Web.Reply(status, Json.write(answer));
    }

    private boolean isFenced(Map<String, Object> call) {
        long token = Json.number(call.get("FencingToken"));
        if (token < highestToken) return true;
        highestToken = token;
        return false;
    }

    private void extend(long deadline) {
        leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
    }

    private Web.Reply start(Map<String, Object> call) {
        String task = Json.string(call.get("Task"));
        long runId = Json.number(call.get("RunId"));
        long deadline = Json.number(call.get("DeadlineMs"));
        if (isFenced(call)) return answer(409, "fence");
        if (deadline <= clock()) return answer(409, "late");
        if (Json.string(call.get("Specification")).contains("advised")
            && !Advisor.isTicket(Json.string(call.get("Ticket")), task, id)) {
            record.run(id, task, runId, "is refused, its ticket is not valid");
            return answer(409, "ticket");
        }
        extend(deadline);
        for (Run run : running) if (run.task.equals(task) && run.runId == runId) return answer(200, null);
        if (runId <= highestGone.getOrDefault(task, 0L)) return answer(409, "old");
        Run run = new Run(task, runId, clock(), highestToken, Json.string(call.get("Specification")));
        running.add(run);
        record.run(id, task, runId, "starts, token " + highestToken);
        observer.started(this, run);
        return answer(200, null);
    }

    private Web.Reply stop(Map<String, Object> call) {
        if (isFenced(call)) return answer(409, "fence");
        String task = Json.string(call.get("Task"));
        long runId = Json.number(call.get("RunId"));
        highestGone.merge(task, runId, Math::max);
        for (Run run : running) {
            if (run.task.equals(task) && run.runId <= runId) run.stopsAt = Math.min(run.stopsAt, clock() + STOP_MILLIS);
        }
        return answer(200, null);
    }

    private Web.Reply hold(Map<String, Object> call) throws InterruptedException {
        if (isFenced(call)) return answer(409, "fence");
        if (call.get("DeadlineMs") != null) extend(Json.number(call.get("DeadlineMs")));
        long cursor = Json.number(call.get("AckCursor"));
        for (Object[] end : ends) {
            if ((Long) end[0] <= cursor) record.run(id, (String) end[1], (Long) end[2], "is taken note of");
        }
        ends.removeIf(end -> (Long) end[0] <= cursor);
        long until = System.nanoTime() + Math.min(2_000, Json.number(call.get("WaitMs"))) * 1_000_000;
        while (ends.isEmpty() && isUp && !isSilent) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            FLOOR.wait(left);
        }
        if (!isUp || isSilent) return null;
        List<Object> held = new ArrayList<>();
        for (Run run : running) held.add(List.of(run.task, run.runId, "", percent(run), 0L));
        List<Object> finished = new ArrayList<>();
        for (Object[] end : ends) if (finished.size() < MOST_ENDS) finished.add(List.of(end));
        return new Web.Reply(200, Json.write(
            Json.map("ClockMs", clock(), "born", bornUnixMillis, "Running", held, "Finished", finished)));
    }

    private long percent(Run run) {
        long ran = clock() - run.startedAt;
        if (run.lasts) return ran < STARTUP_MILLIS ? 50 : 100;
        return run.durationMillis == null ? 100 : Math.min(99, ran * 100 / Math.max(1, run.durationMillis));
    }
}
