import java.util.List;
import java.util.Map;

/** A client leaves before its job is stored and cancels it; the store carries the write out late. */
final class Cancel {
    private static final String JOB = "00000000000000f1";
    private static final long CANCEL_MILLIS = 3_000;
    private static final long LATE_MILLIS = 5_900;
    private final Rig rig;

    Cancel(Rig rig) {
        this.rig = rig;
    }

    /** Other clients hand in small jobs, five a second, whose writes are all answered. */
    private void sendOthers() {
        for (int i = 0; i < 100; i++) {
            String job = String.format("%016x", 0xd000 + i);
            Http.daemon(() -> rig.submit(rig.entries.get(2), "tallies", job, List.of(Rig.step(1, 1_000, 200, null)), 200));
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    int play() throws Exception {
        for (int i = 0; i < 4; i++) rig.worker("w" + i, "hall", 64_000);
        rig.start(3, Rig.config(1, List.of(Rig.route("tallies", "hall")), Json.map(), "hall"));
        Thread.sleep(4_000);
        Http.daemon(this::sendOthers);
        Thread.sleep(1_000);
        Entry first = rig.entries.get(0);
        Entry second = rig.entries.get(1);
        synchronized (rig.lock) {
            rig.workByJob.put(JOB, new long[] {4_000});
        }
        if (rig.hasTrouble) {
            rig.store.lateText = "job/" + JOB;
            rig.store.lateMillis = LATE_MILLIS;
            rig.note("from now on writes of the job get no answer, and are carried out " + LATE_MILLIS + " ms later");
        }
        String body = Json.write(Json.map("Specification", "job", "Steps", List.of(Rig.step(2, 1_000, 4_000, null))));
        Http.Answer posted = Http.call(first.callers, "POST", "/tallies/" + JOB, Map.of("Host", Rig.ROUTE_HOST,
                "X-Verbenagauge-Credential", "key-1", "X-Verbenagauge-Deadline-Ms", "3000"), body, 700);
        rig.note("POST " + JOB + " at " + first.id + ": " + (posted == null ? "the client leaves after 700 ms" : posted.status()));
        Http.Answer deleted = rig.call(second, "DELETE", "tallies", JOB, "");
        long acknowledgedAt = Rig.millis();
        rig.note("DELETE " + JOB + " at " + second.id + ": " + (deleted == null ? "no answer" : deleted.status()));
        Thread.sleep(1_600);
        rig.store.lateMillis = 0;
        rig.note("the store answers all calls again; writes meanwhile: "
                + rig.store.writesMeanwhile + ", of them without an answer: " + rig.store.lateMeanwhile);
        if (deleted == null || deleted.status() != 200 && deleted.status() != 410) return Rig.NOT_RUN;
        Thread.sleep(12_000);
        rig.note("GET " + JOB + ": " + rig.state(second, "tallies", JOB) + "; status of the late writes: " + rig.store.late);
        int broken = 0;
        synchronized (rig.lock) {
            for (Worker.Run run : rig.runs) {
                if (!run.jobId().equals(JOB)) continue;
                long after = run.startedAt - acknowledgedAt;
                rig.note("run " + run.runId + " of " + run.task + " on " + run.worker.id + " started " + after
                        + " ms after the cancel was acknowledged and ended " + run.how);
                // A start later than cancel_ms after the acknowledgement.
                if (after > CANCEL_MILLIS) broken++;
            }
        }
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
