import java.util.List;
import java.util.Map;

/** A client hands in one timed job without FirstRunMs; small jobs of another queue and service come before and after. */
final class Timed {
    private static final String TIMED = "00000000000000e1";
    private static final int TRAFFIC_S = 30;
    private static final long FINISH_MILLIS = 14_000;
    private final Rig rig;

    Timed(Rig rig) {
        this.rig = rig;
    }

    int play() throws Exception {
        for (int i = 0; i < 4; i++) rig.worker("hall-" + i, "hall", 64_000);
        for (int i = 0; i < 4; i++) rig.worker("desk-" + i, "desk", 64_000);
        rig.start(3, Rig.config(1, List.of(Rig.route("tallies", "hall"), Rig.route("reports", "desk")), Json.map(), "hall", "desk"));
        Small small = new Small(rig, "tallies");
        small.send(5);
        Thread.sleep(2_000);
        rig.note(small.count() + " small jobs on tallies were accepted, states " + small.states());
        if (rig.hasTrouble) {
            synchronized (rig.lock) {
                rig.workByJob.put(TIMED, new long[] {300});
            }
            String body = Json.write(Json.map("Specification", "report", "Steps", List.of(Rig.step(10, 1_000, 300, null)),
                    "Repetitions", 105_120, "IntervalMs", 300_000));
            Http.Answer answer = rig.call(rig.entries.get(0), "POST", "reports", TIMED, body);
            rig.note("POST reports/" + TIMED + " " + body + ": " + (answer == null ? "no answer" : answer.status()));
            if (answer == null || answer.status() != 200) return Rig.NOT_RUN;
        }
        long sinceMillis = Rig.millis();
        small.send(TRAFFIC_S);
        long endMillis = Rig.millis();
        Thread.sleep(FINISH_MILLIS);
        Map<String, Integer> states = small.states();
        rig.note(small.count() + " small jobs were accepted in all; " + FINISH_MILLIS + " ms after the last: " + states);
        rig.note("starts on hall after the timed job came: " + rig.count(run -> run.worker.service.equals("hall") && run.startedAt > sinceMillis)
                + "; in the last " + (Rig.millis() - endMillis) + " ms on all workers: " + rig.count(run -> run.startedAt > endMillis));
        synchronized (rig.lock) {
            rig.note("runs on hall now: " + rig.workers.stream().filter(worker -> worker.service.equals("hall"))
                    .mapToInt(worker -> worker.running.size()).sum() + " (256 cores)");
        }
        for (Entry entry : rig.entries) {
            rig.note(entry.id + ": process " + (entry.isAlive() ? "there" : "ended") + ", ready " + entry.isReady()
                    + ", log lines with OutOfMemoryError: " + entry.log("OutOfMemoryError").size());
        }
        return small.areDone(states) ? Rig.HELD : Rig.BROKEN;
    }
}
