import java.util.List;

/** A task that lasts ends by itself. */
final class Lasting {
    private final Rig rig;

    Lasting(Rig rig) {
        this.rig = rig;
    }

    int play() throws Exception {
        for (int i = 0; i < 4; i++) rig.worker("w" + i, "hall", 64_000);
        rig.start(3, Rig.config(1, List.of(Rig.route("tallies", "hall")), Json.map(), "hall"));
        var step = Rig.step(2, 1_000, 300, null);
        step.put("LongRunning", true);
        int status = rig.submit(rig.entries.get(0), "tallies", "00000000000000a1", List.of(step), rig.hasTrouble ? 3_000 : -1);
        rig.note("POST of a job of 2 tasks that last: " + status);
        Thread.sleep(15_000);
        rig.note("state " + rig.state(rig.entries.get(1), "tallies", "00000000000000a1") + ", starts " + rig.count(run -> true));
        synchronized (rig.lock) {
            return rig.workers.stream().allMatch(worker -> worker.running.isEmpty()) ? Rig.BROKEN : Rig.HELD;
        }
    }
}
