import java.util.List;

/** A job of one task that takes five minutes, on the only worker with the label that it needs; it must run. */
final class Lengthy {
    private static final int FINISH_MILLIS = 14_000;

    public static void main(String[] args) throws Exception {
        Scene.run(args, Lengthy::play);
    }

    private static String play(Scene scene) throws Exception {
        scene.configure(1, List.of(Scene.route("ledger", "hall")), List.of(Scene.service("hall", false)),
            List.of(Scene.tenant("alpha", 5, 100_000)));
        for (int i = 1; i <= 4; i++) {
            scene.list(new Worker("w" + i, "m" + i, "hall", 64_000, 131_072, i == 1 ? "archive" : "a", scene.record,
                new Worker.Observer() {
                }));
        }
        Entry one = scene.entry("entry-1", "", "");
        Entry two = scene.entry("entry-2", "", "");
        scene.awaitReady(one);
        scene.awaitReady(two);
        String job = Scene.id(1);
        int millis = scene.hasTrouble ? 300_000 : 20_000;
        if (scene.submit(one, "ledger", "alpha", job, Scene.job("work=" + millis,
            Scene.step(1, 2_000, millis, "Requirements", "archive"))).status() != 200) {
            throw new Scene.CannotRun("the job was not accepted");
        }
        scene.await("the task runs", 10_000, () -> Scene.runs(job) == 1);
        // The rule: finish_s after the end of the traffic, for 3 s, nothing of the job runs though it has room.
        Thread.sleep(FINISH_MILLIS);
        long until = scene.record.now() + 30_000;
        long idleSince = -1;
        String state = "";
        while (scene.record.now() < until) {
            boolean isIdle = Scene.runs(job) == 0;
            if (isIdle && idleSince < 0) idleSince = scene.record.now();
            if (!isIdle) idleSince = -1;
            state = scene.state(two, "ledger", "alpha", job);
            if (!state.equals("active") && !state.equals("queued")) break;
            if (isIdle && scene.record.now() - idleSince > 3_000) {
                return "LOST: for 3 s nothing of job " + job + " has run, and its worker w1 is empty; it is shown as " + state;
            }
            Thread.sleep(50);
        }
        return null;
    }
}
