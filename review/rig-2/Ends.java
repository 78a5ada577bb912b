import java.util.List;

/** A task that lasts ends by itself as done; it must be started again, since its job was not cancelled. */
final class Ends {
    public static void main(String[] args) throws Exception {
        Scene.run(args, Ends::play);
    }

    private static String play(Scene scene) throws Exception {
        scene.configure(1, List.of(Scene.route("ledger", "hall")), List.of(Scene.service("hall", false)),
            List.of(Scene.tenant("alpha", 5, 400_000)));
        long[] lastEnd = {0};
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public void ended(Worker worker, Worker.Run run, String how) {
                lastEnd[0] = scene.record.now();
            }
        };
        for (int i = 1; i <= 3; i++) {
            scene.list(new Worker("w" + i, "m" + i, "hall", 64_000, 131_072, "a", scene.record, observer));
        }
        Entry one = scene.entry("entry-1", "", "");
        Entry two = scene.entry("entry-2", "", "");
        scene.awaitReady(one);
        scene.awaitReady(two);
        String job = Scene.id(1);
        String text = scene.hasTrouble ? "lasts ends=4000" : "lasts";
        if (scene.submit(one, "ledger", "alpha", job,
            Scene.job(text, Scene.step(1, 5_000, 900, "LongRunning", true))).status() != 200) {
            throw new Scene.CannotRun("the job was not accepted");
        }
        scene.await("the task runs", 10_000, () -> Scene.runs(job) == 1);
        // 20 s in which the task ends as done at least once, with the disruption.
        long until = scene.record.now() + 20_000;
        while (scene.record.now() < until) {
            scene.state(two, "ledger", "alpha", job);
            if (Scene.runs(job) == 0 && lastEnd[0] > 0 && scene.record.now() - lastEnd[0] > 9_000) {
                return "LOST: nothing of the task that lasts has run for 9 s since its last run ended, its job is shown as "
                    + scene.state(one, "ledger", "alpha", job);
            }
            Thread.sleep(500);
        }
        return null;
    }
}
