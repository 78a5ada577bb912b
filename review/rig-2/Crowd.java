import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One tenant hands in lasting jobs that find no room; a small job of another tenant has room, and must run. */
final class Crowd {
    private static final int JOBS = 110;
    private static final long WORKER_CPU = 64_000;
    private static final long FINISH_MILLIS = 14_000;

    public static void main(String[] args) throws Exception {
        Scene.run(args, Crowd::play);
    }

    private static String play(Scene scene) throws Exception {
        scene.configure(1, List.of(Scene.route("ledger", "hall"), Scene.route("tally", "hall")),
            List.of(Scene.service("hall", false)),
            List.of(Scene.tenant("alpha", 5, 400_000), Scene.tenant("beta", 5, 100_000)));
        for (int i = 1; i <= 4; i++) {
            scene.list(new Worker("w" + i, "m" + i, "hall", WORKER_CPU, 131_072, "a", scene.record,
                new Worker.Observer() {
                }));
        }
        Entry one = scene.entry("entry-1", "", "");
        Entry two = scene.entry("entry-2", "", "");
        scene.awaitReady(one);
        scene.awaitReady(two);

        // A first small job shows that all is well.
        scene.submit(one, "tally", "beta", Scene.id(1), Scene.job("work=500", Scene.step(2, 2_000, 500)));
        scene.await("a small job completes", 15_000,
            () -> scene.state(two, "tally", "beta", Scene.id(1)).equals("completed"));

        // 110 lasting jobs at 4 a second. With the disruption each asks for more room than is free on any worker.
        Map<String, Long> cpuByJob = new HashMap<>();
        long cpu = scene.hasTrouble ? 40_000 : 100;
        String first = Scene.id(50);
        cpuByJob.put(first, 28_000L);
        scene.submit(one, "ledger", "alpha", first,
            Scene.job("lasts", Scene.step(4, 28_000, 900, "LongRunning", true, "AntiAffinity", 1L)));
        scene.await("the first lasting job runs on each worker", 10_000, () -> Scene.runs(first) == 4);
        int accepted = 0;
        for (int i = 0; i < JOBS; i++) {
            cpuByJob.put(Scene.id(100 + i), cpu);
            if (scene.submit(i % 2 == 0 ? one : two, "ledger", "alpha", Scene.id(100 + i),
                Scene.job("lasts", Scene.step(1, cpu, 900, "LongRunning", true))).status() == 200) {
                accepted++;
            }
            Thread.sleep(250);
        }
        scene.record.line(accepted + " of " + JOBS + " lasting jobs were accepted");

        String small = Scene.id(2);
        cpuByJob.put(small, 2_000L);
        Caller.Answer answer =
            scene.submit(two, "tally", "beta", small, Scene.job("work=500", Scene.step(2, 2_000, 500)));
        if (answer.status() != 200) throw new Scene.CannotRun("the small job was not accepted");

        // The rule: finish_s after the end of the traffic, for 3 s, nothing of the job runs although it has room twice
        // over, its tenant has under half of MaxCount and under half of the service's capacity is in use.
        Thread.sleep(FINISH_MILLIS);
        long until = scene.record.now() + 3_000;
        while (scene.record.now() < until) {
            if (Scene.runs(small) > 0 || scene.state(one, "tally", "beta", small).equals("completed")) return null;
            long used = Scene.cpuInUse("hall", cpuByJob);
            scene.record.line("in use " + used + " of " + 4 * WORKER_CPU);
            if (used * 2 >= 4 * WORKER_CPU) throw new Scene.CannotRun("half of the service is in use");
            Thread.sleep(200);
        }
        return "LOST: for 3 s, " + FINISH_MILLIS + " ms after the end of the traffic, nothing of job " + small
            + " runs, and there is room for it";
    }
}
