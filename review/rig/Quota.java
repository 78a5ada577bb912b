import java.util.List;
import java.util.Map;

/** The owner is killed while one worker that runs tasks of a tenant is cut off. */
final class Quota {
    private static final long MAX_CPU = 8_000;
    private static final long TASK_CPU = 1_000;
    private final Rig rig;

    Quota(Rig rig) {
        this.rig = rig;
    }

    private long running() {
        synchronized (rig.lock) {
            rig.workers.forEach(Worker::advance);
            return rig.workers.stream().mapToLong(worker -> worker.running.size() * TASK_CPU).sum();
        }
    }

    int play() throws Exception {
        for (int i = 0; i < 1; i++) rig.worker("hall-" + i, "hall", 64_000);
        for (int i = 0; i < 5; i++) rig.worker("desk-" + i, "desk", 64_000);
        Map<String, Object> most = Json.map("Cpu", MAX_CPU);
        rig.start(3, Rig.config(1, List.of(Rig.route("tallies", "hall"), Rig.route("quotes", "desk")), most, "hall", "desk"));
        Entry first = rig.entries.get(0);
        int status = rig.submit(first, "tallies", "00000000000000b1", List.of(Rig.step(6, TASK_CPU, 60_000, null)), 60_000);
        rig.note("POST of 6 tasks of 1,000 thousandths of a core on the service hall: " + status);
        if (!Rig.await(10_000, () -> running() == 6 * TASK_CPU)) return Rig.NOT_RUN;
        int other = rig.submit(first, "quotes", "00000000000000b2", List.of(Rig.step(60, TASK_CPU, 1_500, null)), 1_500);
        rig.note("POST of 60 tasks of 1,000 thousandths on the service desk: " + other);
        Thread.sleep(5_000);
        rig.note("running: " + running() + ", MaxCount of the tenant: " + MAX_CPU);
        long before = Rig.millis();
        Worker cut = rig.workers.get(0);
        int leader = rig.store.leader();
        if (rig.hasTrouble) {
            cut.port.cut();
            rig.entries.get(leader).kill();
            rig.note(cut.id + " is cut off and runs on; SIGKILL for " + rig.entries.get(leader).id);
        }
        Thread.sleep(5_500);
        if (rig.hasTrouble) {
            cut.port.heal();
            rig.note(cut.id + " is reached again");
        }
        Thread.sleep(4_000);
        rig.note("the leader is " + rig.entries.get(rig.store.leader()).id);
        return judge(before);
    }

    /** QUOTA: a start brings what runs above MaxCount x (1 + QuotaOverrun) and one task more. */
    private int judge(long fromMillis) {
        long bound = MAX_CPU + MAX_CPU / 10 + TASK_CPU;
        rig.note("the bound is " + bound + ", the most that ran is " + rig.mostRunning * TASK_CPU);
        rig.overruns.stream().limit(8).forEach(rig::note);
        return rig.mostRunning * TASK_CPU > bound ? Rig.BROKEN : Rig.HELD;
    }
}
