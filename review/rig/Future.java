import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Timed jobs wait for their first time, an hour away; small jobs of another queue and service come meanwhile. */
final class Future {
    private static final int JOBS = 500;
    private static final int CLIENTS = 25;
    private static final int TRAFFIC_S = 30;
    private static final long FINISH_MILLIS = 14_000;
    private final Rig rig;

    Future(Rig rig) {
        this.rig = rig;
    }

    private boolean submit(int number, int repetitions) {
        String body = Json.write(Json.map("Specification", "report", "Steps", List.of(Rig.step(1, 1_000, 300, null)),
                "Repetitions", repetitions, "FirstRunMs", System.currentTimeMillis() + 3_600_000, "IntervalMs", 300_000));
        for (int attempt = 0; attempt < 4; attempt++) {
            Entry entry = rig.entries.get((number + attempt) % rig.entries.size());
            Http.Answer answer = rig.call(entry, "POST", "reports", String.format("%016x", 0xe000 + number), body);
            if (answer != null && answer.status() == 200) return true;
        }
        return false;
    }

    int play() throws Exception {
        for (int i = 0; i < 4; i++) rig.worker("hall-" + i, "hall", 64_000);
        for (int i = 0; i < 4; i++) rig.worker("desk-" + i, "desk", 64_000);
        rig.start(3, Rig.config(1, List.of(Rig.route("tallies", "hall"), Rig.route("reports", "desk")), Json.map(), "hall", "desk"));
        // With TROUBLE=0 the jobs are the same, but each is due once instead of all year.
        int repetitions = rig.hasTrouble ? 105_120 : 1;
        AtomicInteger next = new AtomicInteger();
        AtomicInteger timed = new AtomicInteger();
        CountDownLatch open = new CountDownLatch(CLIENTS);
        for (int client = 0; client < CLIENTS; client++) {
            Http.daemon(() -> {
                for (int i = next.getAndIncrement(); i < JOBS; i = next.getAndIncrement()) if (submit(i, repetitions)) timed.incrementAndGet();
                open.countDown();
            });
        }
        open.await(30, TimeUnit.SECONDS);
        rig.note(timed + " timed jobs with " + repetitions + " repetitions were accepted, none is due within the hour");
        Small small = new Small(rig, "tallies");
        long sinceMillis = Rig.millis();
        small.send(TRAFFIC_S);
        Thread.sleep(FINISH_MILLIS);
        Map<String, Integer> states = small.states();
        rig.note(small.count() + " small jobs were accepted; " + FINISH_MILLIS + " ms after the last: " + states);
        rig.note("starts on all workers: " + rig.count(run -> run.startedAt > sinceMillis) + ", all of them are idle");
        for (Entry entry : rig.entries) {
            rig.note(entry.id + ": process " + (entry.isAlive() ? "there" : "ended") + ", ready " + entry.isReady() + ", took over "
                    + entry.log("OWNERSHIP_TAKEN").size() + " times");
        }
        return small.areDone(states) ? Rig.HELD : Rig.BROKEN;
    }
}
