import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The owner is killed while a job of many tasks runs whose ends have been taken note of. */
final class Progress {
    private static final String ROUTE = "tallies";
    private static final String JOB = "00000000000000a1";
    private static final int TASKS = 9_000;
    private final Rig rig;

    Progress(Rig rig) {
        this.rig = rig;
    }

    int play() throws Exception {
        for (int i = 0; i < 8; i++) rig.worker("w" + i, "hall", 64_000);
        rig.start(3, Rig.config(1, List.of(Rig.route(ROUTE, "hall")), Json.map(), "hall"));
        int status = rig.submit(rig.entries.get(0), ROUTE, JOB,
                List.of(Rig.step(TASKS, 500, 40, null), Rig.step(1, 500, 12_000, 0)), 40, 12_000);
        rig.note("POST " + JOB + " with " + TASKS + " tasks, and one after them: " + status);
        if (status != 200) return Rig.NOT_RUN;
        boolean isThere = Rig.await(60_000, () -> rig.count(run -> run.step() == 0 && run.isTaken && run.how.equals("done")) >= TASKS
                && rig.count(run -> run.step() == 1) > 0);
        rig.note(rig.count(run -> run.step() == 0) + " starts in step 0; " + taken() + " ends done, taken note of by AckCursor; "
                + rig.count(run -> run.step() == 1) + " start in step 1");
        rig.note("largest row that the store refused, as it is over RowBytes: " + rig.store.refusedBytes() + " bytes");
        if (!isThere) return Rig.NOT_RUN;
        Thread.sleep(1_000);
        int leader = rig.store.leader();
        Entry asked = rig.entries.get((leader + 1) % rig.entries.size());
        if (rig.hasTrouble) {
            rig.entries.get(leader).kill();
            rig.note("SIGKILL for " + rig.entries.get(leader).id + ", which last wrote to the store under a condition");
        }
        Rig.await(30_000, () -> rig.state(asked, ROUTE, JOB).equals("completed"));
        rig.note("GET " + JOB + ": " + rig.state(asked, ROUTE, JOB) + ", the leader is " + rig.entries.get(rig.store.leader()).id);
        return judge();
    }

    private long taken() {
        return rig.count(run -> run.step() == 0 && run.isTaken && run.how.equals("done"));
    }

    /** TWICE: a start after a run has ended done, if that end is taken note of. */
    private int judge() {
        Map<String, Worker.Run> done = new HashMap<>();
        Set<String> again = new HashSet<>();
        int shown = 0;
        synchronized (rig.lock) {
            for (Worker.Run run : rig.runs) {
                Worker.Run before = done.get(run.task);
                if (before != null && before.isTaken) {
                    again.add(run.task);
                    if (shown++ < 5) {
                        rig.note("TWICE " + run.task + ": run " + before.runId + " ended done on " + before.worker.id
                                + ", taken note of; run " + run.runId + " started on " + run.worker.id + " "
                                + (run.startedAt - before.startedAt) + " ms after its start");
                    }
                }
                if (run.how.equals("done")) done.putIfAbsent(run.task, run);
            }
        }
        rig.note(again.size() + " of " + TASKS + " tasks were started again after their end was taken note of");
        return again.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }
}
