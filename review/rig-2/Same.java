import java.util.List;

/** Two tenants, each on its own queue, choose the same id for a job; what is accepted must run, and be shown as it is. */
final class Same {
    public static void main(String[] args) throws Exception {
        Scene.run(args, Same::play);
    }

    private static String play(Scene scene) throws Exception {
        scene.configure(1, List.of(Scene.route("ledger", "hall"), Scene.route("tally", "counter")),
            List.of(Scene.service("hall", false), Scene.service("counter", false)),
            List.of(Scene.tenant("alpha", 5, 100_000), Scene.tenant("beta", 5, 100_000)));
        boolean[] ran = {false};
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public void started(Worker worker, Worker.Run run) {
                ran[0] |= run.specification.contains("beta");
            }
        };
        for (int i = 1; i <= 4; i++) {
            scene.list(new Worker("w" + i, "m" + i, i <= 2 ? "hall" : "counter", 64_000, 131_072, "a", scene.record,
                observer));
        }
        Entry one = scene.entry("entry-1", "", "");
        Entry two = scene.entry("entry-2", "", "");
        scene.awaitReady(one);
        scene.awaitReady(two);
        String first = "0000000000000001";
        String second = scene.hasTrouble ? first : "0000000000000002";
        scene.submit(one, "ledger", "alpha", first, Scene.job("work=500 alpha", Scene.step(2, 2_000, 500)));
        scene.await("the job of alpha completes", 10_000,
            () -> scene.state(one, "ledger", "alpha", first).equals("completed"));
        Caller.Answer answer =
            scene.submit(two, "tally", "beta", second, Scene.job("work=500 beta", Scene.step(2, 2_000, 500)));
        if (answer.status() != 200) {
            scene.record.line("the job of beta is not accepted, and need not run");
            return null;
        }
        Thread.sleep(14_000);
        String state = scene.state(two, "tally", "beta", second);
        return ran[0] ? null : "MIXED: the job of beta was accepted, no task of it has started, and it is shown as " + state;
    }
}
