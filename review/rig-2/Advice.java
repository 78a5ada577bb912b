import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** In a pool of 40 workers the policy allows one step on one worker, which is not among the emptiest 30; it must run. */
final class Advice {
    private static final String ALLOWED = "w7";
    private static final long WORKER_CPU = 64_000;
    private static final long FINISH_MILLIS = 14_000;

    public static void main(String[] args) throws Exception {
        Scene.run(args, Advice::play);
    }

    private static String play(Scene scene) throws Exception {
        Map<String, Object> advised = Scene.route("tally", "hall");
        advised.put("Advisor", Json.map("DecisionMs", Advisor.DECISION_MILLIS, "PerWorkerMs", Advisor.PER_WORKER_MILLIS,
            "ValidityMs", Advisor.VALIDITY_MILLIS));
        scene.configure(1, List.of(Scene.route("ledger", "hall"), advised), List.of(Scene.service("hall", false)),
            List.of(Scene.tenant("alpha", 5, 400_000), Scene.tenant("beta", 5, 100_000)));
        Advisor advisor = new Advisor(scene.record, ALLOWED::equals);
        int count = scene.hasTrouble ? 40 : 30;
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            Worker worker = new Worker("w" + i, "m" + i, "hall", WORKER_CPU, 131_072, ("w" + i).equals(ALLOWED) ? "b" : "a",
                scene.record, new Worker.Observer() {
                });
            workers.add(worker);
            scene.list(worker);
        }
        scene.beat(workers);
        Entry one = scene.entry("entry-1", "", advisor.address());
        Entry two = scene.entry("entry-2", "", advisor.address());
        scene.awaitReady(one);
        scene.awaitReady(two);
        Map<String, Long> cpuByJob = new HashMap<>();
        String lasting = Scene.id(1);
        cpuByJob.put(lasting, 8_000L);
        scene.submit(one, "ledger", "alpha", lasting,
            Scene.job("lasts", Scene.step(1, 8_000, 900, "LongRunning", true, "Requirements", "b")));
        scene.await("a lasting task runs on " + ALLOWED, 10_000, () -> Scene.runs(lasting) == 1);
        String small = Scene.id(2);
        cpuByJob.put(small, 2_000L);
        if (scene.submit(two, "tally", "beta", small, Scene.job("work=500 advised", Scene.step(1, 2_000, 500))).status()
            != 200) {
            throw new Scene.CannotRun("the small job was not accepted");
        }
        Thread.sleep(FINISH_MILLIS);
        long until = scene.record.now() + 3_000;
        while (scene.record.now() < until) {
            if (Scene.runs(small) > 0 || scene.state(one, "tally", "beta", small).equals("completed")) return null;
            scene.record.line("in use " + Scene.cpuInUse("hall", cpuByJob) + " of " + count * WORKER_CPU);
            Thread.sleep(200);
        }
        return "LOST: for 3 s, " + FINISH_MILLIS + " ms after the end of the traffic, nothing of job " + small
            + " runs, and " + ALLOWED + ", which may run it, has 56 of 64 cores free";
    }
}
